Feature: Submitting jobs

  Scenario: A job is answered end to end
    When a "once" job of 40 tasks of 50 ms is submitted through north-1
    Then its answer is 1000 "complete" with the result of every task in order
    And no task has started twice
    And no runner has used more slots or connections than it has

  Scenario: A resubmission through another entry process gets the same job
    When a "once" job of 12 tasks of 300 ms is submitted through north-1
    And it is submitted again through south-1
    And it is submitted again through north-2
    Then all its answers are 1000 "complete" with the result of every task in order
    And no task has started twice

  Scenario: Invalid input is refused with its code and does not affect other jobs
    When a "once" job of 3 tasks of 1500 ms is submitted through north-1
    And these requests are sent to north-1 meanwhile
      | request            | code |
      | malformed JSON     | 2001 |
      | JSON of a list     | 2001 |
      | deep nesting       | 2001 |
      | no tasks           | 2001 |
      | oversized task     | 2002 |
      | oversized body     | 2002 |
      | 541 tasks          | 2002 |
      | unknown service    | 2003 |
      | unknown kind       | 2004 |
      | duplicate task ids | 2005 |
      | never fits         | 2006 |
      | bad job id         | 2007 |
      | unknown team       | 2009 |
      | unknown path       | 2010 |
    And 20 requests are sent incompletely to north-1 and kept open
    And 20 truncated requests are sent to north-1
    Then a small job through north-1 is complete within 3 s
    And its answer is 1000 "complete" with the result of every task in order
    And no task has started twice

  Scenario: The id of a job is refused for another payload
    When a "once" job of 1 tasks of 10 ms is submitted through north-1
    And its answer has arrived
    And its id is used for another payload through north-1
    Then the answer to the other payload is 2008 "id-reused"
    And its answer is 1000 "complete" with the result of every task in order
