Feature: Experiments in simulated time
  Load patterns run against the product's own scheduler, baselines and a policy with
  full knowledge.

  Scenario Outline: The model and the tool
    Then the experiment case "<case>" holds

    Examples:
      | case                                                   |
      | a fuller batch makes each token slower                 |
      | prefilling a prompt slows the others down              |
      | an engine runs no more than its slots                  |
      | an engine slowed by a factor takes as much longer      |
      | the same seed gives the same result                    |
      | bursts earn more credit than under any baseline        |
      | queueing late requests serves more and loses no credit |
      | higher ranks keep their credit in an overload          |
      | nine in ten answers of an overload are in time         |
      | unknown patterns and policies are reported             |
