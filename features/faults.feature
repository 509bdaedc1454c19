@shared @proxied
Feature: Entry processes whose network, disks or processors fail

  Background:
    Given no fault is left

  Scenario: A zone that is cut off serves its own jobs, and no job runs on both sides
    When a "once" job of 4 tasks of 50 ms is submitted through north-1
    And its answer has arrived
    And a job is prepared in the ledger of every entry process
    And the north zone is cut off
    And the prepared jobs are submitted through north-2 and south-1
    Then a small job through north-1 is complete within 10 s
    And a small job through south-1 is complete within 10 s
    And one resubmission through south-1 does not claim that the job did not run
    And north-1 and south-1 no longer take each other for live
    When the network heals
    Then within 5 s all entry processes see each other
    And each prepared job has the same final answer through north-1 and east-1
    And no task of the prepared jobs has started twice
    And no answer on either side claimed wrongly that a prepared job did not run
