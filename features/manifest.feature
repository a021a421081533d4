Feature: Manifests and settings are checked as a whole

  Scenario: Every finding is reported with its line and path
    Given the manifest
      """
      {
        // two errors in one team, one in a pool
        "tiers": [{"name": "high", "deadline_s": 10}],
        "teams": [
          {"name": "crews", "tier": "hihg",
           "keys": ["plain-text-key"]}
        ],
        "pools": [{"name": "digest", "kind": "engine"}],
        "endpoints": [
          {"name": "e1", "pool": "digest", "address": "localhost:80",
           "data_centre": "a", "owner": "o"}
        ]
      }
      """
    When it is checked
    Then the findings are
      | line | path              | message                           |
      | 6    | teams[0].keys[0]  | expected sha256:                  |
      | 5    | teams[0].tier     | no tier named 'hihg'              |
      | 8    | pools[0]          | an engine pool needs 'models'     |
      | 10   | endpoints[0].address | expected an IP number and a port |

  Scenario Outline: Text that is not a manifest has one clear finding
    Given the manifest text <text>
    When it is checked
    Then the only finding contains <message>

    Examples:
      | text                   | message                   |
      | {                      | expected a name in quotes |
      | {"tiers": [1,}         | expected a value          |
      | {"a": 1, "a": 2}       | stands twice              |
      | {} trailing            | after the end             |

  Scenario Outline: The examples are valid and match the published schema
    Given the example <name>
    When it is checked
    Then there are no findings
    And it matches the published schema

    Examples:
      | name                        |
      | vereniging-ballonberging    |
      | hrafnsvik-timbur-maeling    |

  Scenario: Settings report all findings together
    Given settings without an instance, with a host name and a short key
    When the daemon checks them
    Then it exits with status 2 and reports 3 findings with file and line

  Scenario: A team reaches an endpoint only with the operator's access and the owner's approval
    Given a manifest with access and approval of one team
    Then that team reaches the endpoint
    And without the access it reaches nothing
    And without the approval it reaches nothing
    And with another owner's approval it reaches nothing

  Scenario: Readers of text from outside handle any text
    Then hypothesis finds no text on which the manifest reader fails
    And hypothesis finds no text on which the settings reader fails
    And hypothesis finds no JSON that the reader of JSON with comments parses differently

  Scenario: A diff lists every item that changed
    Given two manifests that differ in a team, an endpoint and an approval
    Then the diff has three lines
