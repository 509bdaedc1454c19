@shared @proxied
Feature: Entry processes whose network, disks or processors fail

  Background:
    Given no fault is active

  Scenario: A zone that is cut off serves its own jobs, and no job runs on both sides
    When a "once" job of 4 tasks of 50 ms is submitted through north-1
    And its answer has arrived
    And a job is prepared in the ledger of every entry process
    And the north zone is cut off
    And the prepared jobs are submitted through north-2 and south-1
    Then a small job through north-1 is complete within 10 s
    And a small job through south-1 is complete within 10 s
    And one resubmission through south-1 does not report that the job did not run
    And north-1 and south-1 no longer consider each other alive
    When the network heals
    Then within 5 s all entry processes see each other
    And each prepared job has the same final answer through north-1 and east-1
    And no task of the prepared jobs has started twice
    And no answer on either side reported falsely that a prepared job did not run

  Scenario: A change on one side of a cut reaches the other side after the heal
    When the north zone is cut off
    And change "minority" is proposed through north-1
    And change "majority" is proposed through south-1
    Then change "majority" is accepted
    And within 5 s the last accepted change is in force in south-1, east-1
    And change "minority" is not accepted
    When the network heals
    Then within 5 s the last accepted change is in force in every entry process
    When change "later" is proposed through north-2
    Then change "later" is accepted
    And within 5 s the last accepted change is in force in every entry process
    And no entry process knows change "minority"

  Scenario: Open connections between entry processes stop forwarding for good
    When a "once" job of 12 tasks of 300 ms is submitted through north-1
    And it has started
    And all open connections between entry processes stop forwarding
    Then a resubmission through east-1 ends with 1000 "complete"
    And a resubmission through south-1 ends with 1000 "complete"
    And its answer is 1000 "complete" with the result of every task in order
    And a small job through east-1 is complete within 10 s
    And a small job through north-2 is complete within 10 s
    And no task has started twice

  Scenario: One direction of a link is cut
    When a "once" job of 6 tasks of 1000 ms is submitted through north-1
    And it has started
    And nothing from south-1 reaches north-1
    Then a resubmission through south-1 ends with 1000 "complete"
    And a small job through south-1 is complete within 10 s
    And a small job through north-1 is complete within 10 s
    And all entry processes see each other for 4 s
    And no task has started twice

  Scenario: 30% of datagrams are lost
    When 30% of datagrams between entry processes are lost
    Then all entry processes see each other for 8 s
    And a small job through east-1 is complete within 5 s

  Scenario: A second voter is lost right after the repair of the first
    When change "before" is proposed through north-1
    Then change "before" is accepted
    When south-1 loses its disk and is started again
    Then within 10 s voter south-1 has recovered
    When east-1 loses its disk
    And change "after" is proposed through south-1
    Then change "after" is accepted
    And north-1 knows change "before"
    And within 5 s the last accepted change is in force in north-1, north-2, south-1

  Scenario: The owner of a zone's slots is frozen and resumed
    When jobs run through every entry process
    And the owner of the slots in the north zone is frozen until it is considered dead
    Then a small job through east-1 is complete within 10 s
    When the frozen entry process is resumed
    And jobs run through every entry process
    Then the jobs that ran are answered, and no task has started twice
    And no runner has used more slots or connections than it has

  Scenario: All entry processes restart after fifty changes
    When 50 changes are made through all entry processes in turn
    And all entry processes are killed and started again
    Then within 5 s the last accepted change is in force in every entry process
    And every entry process knows the last change
