Feature: Entry processes that shut down, are killed, freeze and restart

  Scenario: A graceful shutdown completes the running requests
    When a "once" job of 12 tasks of 500 ms is submitted through north-1
    And it has started
    And north-1 is asked to shut down
    Then its answer is 1000 "complete" with the result of every task in order
    And north-1 ends with exit code 0
    And a small job through north-2 is complete within 5 s
    And no task has started twice

  Scenario: The entry process that owns a finished job is killed
    When a "once" job of 4 tasks of 50 ms is submitted through north-1
    And its answer has arrived
    And north-1 is killed
    Then a resubmission through south-1 ends with 1000 "complete"
    And no task has started twice

  Scenario: The entry process that owns a running job is killed
    When a "once" job of 6 tasks of 1000 ms with a deadline of 4 s is submitted through north-1
    And it has started
    And north-1 is killed
    Then a resubmission through north-2 ends with 4005 "owner-lost"
    And a small job through south-1 is complete within 10 s
    And no task has started twice

  Scenario: The entry process that owns a running job is frozen
    When a "once" job of 6 tasks of 1000 ms with a deadline of 4 s is submitted through north-1
    And it has started
    And north-1 is frozen
    Then a resubmission through north-2 ends with a final answer
    When north-1 is resumed
    Then a small job through north-1 is complete within 10 s
    And no task has started twice

  Scenario: All entry processes restart at once
    When a "once" job of 4 tasks of 50 ms is submitted through north-1
    And its answer has arrived
    And all entry processes are killed and started again
    Then a resubmission through north-2 ends with 4006 "record-lost"
    And a small job through south-1 is complete within 10 s
    And no task has started twice
