Feature: Of concurrent publishes based on the same version, one is accepted
  Each publish names the version that it is based on. The order in the log
  decides, so that each entry host comes to the same decision.

  Scenario Outline: Two operators publish
    Given version <version> of the lists is in force
    When ann publishes based on version <ann>
    And bob publishes based on version <bob>
    Then version <after> of the lists is in force
    And the rejected publishes are "<rejected>"

    Examples:
      | version | ann | bob | after | rejected |
      | 0       | 0   | 0   | 1     | bob      |
      | 0       | 0   | 1   | 2     |          |
      | 3       | 3   | 3   | 4     | bob      |
      | 3       | 2   | 3   | 4     | ann      |
      | 3       | 2   | 4   | 3     | ann bob  |

  Scenario: A publish that is sent again changes nothing
    Given version 0 of the lists is in force
    When ann publishes based on version 0
    And ann publishes based on version 0
    Then version 1 of the lists is in force
    And the rejected publishes are ""
