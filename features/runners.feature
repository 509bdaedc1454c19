Feature: Runners that are killed, leave or are missing

  Scenario: A runner is killed while it runs a job
    When an "again" job of 24 tasks of 300 ms is submitted through north-1
    And a "once" job of 6 tasks of 700 ms is submitted through north-2
    And it has started
    And runner north-a is killed while it runs a task of the "again" job
    Then the "again" job is complete, and no task has more starts than attempts
    And the "once" job is complete or its answer says that tasks may have run
    And no task of the "once" job has started twice

  Scenario: A leaving runner gets no new task
    When a "once" job of 1 tasks of 4000 ms is submitted through north-1
    And it has started
    And the runner of the job is asked to leave
    And small jobs are submitted through every entry process until 1 s after the grace period
    Then the leaving runner has received no request after the grace period
    And its answer is 1000 "complete" with the result of every task in order

  Scenario: A zone without runners uses those of another zone
    When all runners in zone south are killed
    Then a small job through south-1 is complete within 8 s
