Feature: Experiments in simulated time
  Load patterns against the product's own decisions, baselines and a policy that
  knows all.

  Scenario Outline: The model and the tool
    Then the experiment case "<case>" holds

    Examples:
      | case                                               |
      | a fuller batch makes each token slower             |
      | reading a prompt delays the others                 |
      | an engine runs no more than its slots              |
      | a slowed engine takes as much longer               |
      | the same seed gives the same result                |
      | bursts are served better than by any baseline      |
      | waiting while late serves more and costs no credit |
      | higher ranks keep their credit in an overload      |
      | unknown patterns and policies are told             |
