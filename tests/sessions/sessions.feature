Feature: Whole sessions
  What callers and operators see, hop by hop, with and without failures.  Each session
  is kept as a golden file in plain text.

  Scenario: an appraisal without failures
    Given the Office's deployment
    When a citizen starts k1 at entry 1
    And everything has ended
    Then the session reads as in ordinary

  Scenario: the same key through another entry
    Given the Office's deployment
    When a citizen starts k1 at entry 1
    And 0.5 seconds pass
    And a citizen starts k1 at entry 2
    And everything has ended
    Then the session reads as in same-key

  Scenario: the carrier dies in the middle
    Given the Office's deployment
    When a citizen starts k1 at entry 1
    And 0.7 seconds pass
    And the carrier of k1 is killed
    And everything has ended
    And 20 seconds pass
    And an operator looks at the slots
    Then the session reads as in carrier-dies

  Scenario: the entry dies mid-stream and the caller reconnects
    Given the Office's deployment
    When a citizen starts k1 at entry 1
    And 0.7 seconds pass
    And entry 1 is killed
    And a citizen reconnects to k1 at entry 2
    And everything has ended
    Then the session reads as in entry-dies

  Scenario: the platform is down when the carrier dies
    Given the Office's deployment
    When a citizen starts k1 at entry 1
    And 0.7 seconds pass
    And the key-value service goes down
    And the carrier of k1 is killed
    And everything has ended
    And the key-value service comes back
    And a citizen starts k1 at entry 2
    And everything has ended
    Then the session reads as in platform-down

  Scenario: the server of a reservation dies while it runs
    Given the Office's deployment
    When a citizen starts k1 at entry 1
    And the reservation of k1 is dispatched
    And the process before its server is killed
    And everything has ended
    Then the session reads as in outcome-unknown

  Scenario: a caller cancels
    Given the Office's deployment
    When a citizen starts k1 at entry 1
    And 0.5 seconds pass
    And a citizen cancels k1 at entry 2
    And everything has ended
    And 1 seconds pass
    Then no engine holds memory
    And the session reads as in cancelled

  Scenario: a tool hangs
    Given the Office's deployment
    When the plain servers hang
    And a citizen starts k1 at entry 1
    And everything has ended
    And 1 seconds pass
    Then no engine holds memory
    And the session reads as in tool-hangs

  Scenario: the budget is too small
    Given the Office's deployment
    When a citizen starts k1 at entry 1 with a budget of 150
    And everything has ended
    Then the session reads as in budget

  Scenario: a server leaves
    Given the Office's deployment
    When an operator says server m1 leaves
    And 3 seconds pass
    And 8 programs are started
    And everything has ended
    Then no program used server m1
