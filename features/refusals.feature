Feature: A refusal reports the outcome of the call correctly
  Callers rely on the outcome "not run". A host that does not own the key of a
  call can't know whether a copy runs elsewhere, so it reports "unknown".

  Scenario Outline: The outcome depends on whether the host owns the key
    Given the error "<kind>"
    When a host that <owns> the key refuses the call
    Then the caller gets the outcome "<outcome>"

    Examples:
      | kind             | owns         | outcome |
      | no_backend       | owns         | not_run |
      | no_backend       | does not own | unknown |
      | over_limit       | does not own | unknown |
      | outcome_lost     | owns         | unknown |
      | key_reused       | owns         | unknown |
