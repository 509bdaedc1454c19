Feature: Runners that come and go

  Scenario: A runner is killed while it runs a job
    Given the processes run
    When an "again" job of 24 tasks of 300 ms is submitted through north-1
    And a "once" job of 6 tasks of 700 ms is submitted through north-2
    And runner north-a is killed while it is busy
    Then the "again" job is complete, with starts after the lease of a lost attempt only
    And the "once" job is complete or its answer says that tasks may have run
    And no task of the "once" job has started twice

  Scenario: A leaving runner gets no new task
    Given the processes run with runner north-a alone
    When a "once" job of 1 tasks of 4500 ms is submitted through north-1
    And runner north-b joins
    And runner north-a is told to leave
    And small jobs are submitted through every entry process until 1 s after the bound
    Then runner north-a has got no request after the bound
    And its answer is 1000 "complete" with the result of every task in order
