@processes
Feature: Routed requests
  A real instance runs against stand-ins for the callers, the store and the
  endpoints, over the same protocols as in production.

  Scenario Outline: Answers of endpoints
    Then the routed case "<case>" holds

    Examples:
      | case                                                            |
      | a complete answer is returned with its stamp                    |
      | an endpoint receives the request without the API key            |
      | headers reserved for the system are removed                     |
      | a stream is relayed event by event                              |
      | an answer without length is complete when its connection closes |
      | an answer without length whose connection is reset is discarded |
      | a truncated answer is discarded                                 |
      | an answer to another request is discarded                       |
      | a success without a stamp is discarded                          |
      | bytes after the end of an answer are discarded                  |
      | an error of the endpoint is relayed unchanged                   |
      | a 503 without the not-executed header becomes 502               |
      | an answer sent before a long body is read is relayed            |
      | a non-retryable request whose answer is lost is sent once       |
      | a retryable request whose answer is lost is retried elsewhere   |
      | a retryable request that fails is retried elsewhere             |
      | a non-retryable request that did not run is sent elsewhere      |
      | a misdirected request is refused as not run                     |
      | an unreachable endpoint fails no request                        |
      | an interrupted stream resumes after its last event              |
      | an interrupted stream that must not resume is truncated         |
      | a request to a silent endpoint ends at the route's time-out     |
      | a paused stream is kept if there is no other endpoint           |
      | a paused stream is kept if the pool has no free capacity        |
      | refusals under load state a retry delay                         |

  Scenario Outline: Behaviour of callers
    Then the routed case "<case>" holds

    Examples:
      | case                                                       |
      | a caller that disconnects ends its request at the endpoint |
      | a queued request whose caller disconnects is not sent      |
      | a request with an incomplete body is not sent              |
      | a chunked body reaches the endpoint complete               |
      | successive requests on one connection are answered         |
      | pipelined requests are answered in order                   |
      | a request smuggled inside another is not sent              |
      | malformed requests are refused with the matching status    |
      | a request whose head arrives too slowly gets 408           |
      | an unknown key gets 401 and an unknown path 404            |

  Scenario Outline: Content and failures of the store
    Then the routed case "<case>" holds

    Examples:
      | case                                                               |
      | a new version of the configuration takes effect soon               |
      | an older version of the configuration is ignored                   |
      | a revoked key stops working                                        |
      | requests with a key are refused while the configuration is stale   |
      | a start waits for a store that is busy                             |
      | a start waits for a store that limits                              |
      | a start waits for a store that resets                              |
      | a start waits for a store that is silent                           |
      | a start waits for a store that loses answers                       |
      | a listing replaces a history that was compacted                    |
      | unreadable records add no endpoint                                 |
      | a draining endpoint gets no requests                               |
      | an endpoint whose record was removed gets no requests              |
      | records that expired in an outage are kept for a grace period      |
      | an instance without the store learns the configuration from a peer |
      | an instance writes its capacity into its record                    |
      | a record whose lease was lost is written again                     |
      | endpoints beyond the first page of a listing are found             |
      | a restarted endpoint replaces its earlier process                  |

  Scenario Outline: Failures that operators of similar systems reported
    Then the routed case "<case>" holds

    Examples:
      | case                                                                   |
      | an answer that an endpoint repeats late is not taken for the next one  |
      | a stop under load leaves no accepted request without an answer         |
      | requests that a second signal aborts are told whether they ran         |
      | requests that the end of a stop aborts are told whether they ran       |
      | a stream that only sends parts of an event counts as stalled           |
      | a stream that stalls for good ends at the route's time-out             |
      | a slow stream whose events keep coming is not cut                      |
      | a restarted instance does not use what left or was revoked before      |
      | work of a frozen instance goes on and is not run again                 |
      | work of an endpoint whose record expires goes on and is not run again  |

  Scenario Outline: Endpoints that leave or ask for a pause
    Then the routed case "<case>" holds

    Examples:
      | case                                                               |
      | an endpoint that says that it leaves gets no more requests         |
      | an endpoint that leaves with an error gets no more requests        |
      | all endpoints of a pool may leave at once                          |
      | an endpoint that says that it leaves is not used after a restore   |
      | an endpoint that asks for a pause gets no requests until its end   |
      | a pool that asks for a pause gets no requests until its end        |
      | an endpoint whose pause is unreadable is used                      |

  Scenario Outline: Endpoints that start again under their ids
    Then the routed case "<case>" holds

    Examples:
      | case |
      | an endpoint that said that it leaves and starts again after its record was removed is used |
      | an endpoint that said that it leaves and starts again under its record is used |
      | an endpoint that asked for a pause and starts again after its record was removed is used |
      | an endpoint that asked for a pause and starts again under its record is used |
      | an endpoint that named a limit and starts again after its record was removed is used |
      | an endpoint that named a limit and starts again under its record is used |
      | an endpoint that failed its requests and starts again after its record was removed is used |
      | an endpoint that failed its requests and starts again under its record is used |
      | an endpoint that said that it leaves and starts again soon after its record was removed is used |
      | an endpoint that starts again is used though a peer reports that it leaves |
      | an endpoint that leaves after a restart too gets no more requests |

  Scenario Outline: A store that cuts watches
    Then the routed case "<case>" holds

    Examples:
      | case                                                                           |
      | the configuration is confirmed although each watch is cut                      |
      | an endpoint that leaves while watches are cut gets no more requests            |
      | changes that are too many to be read at once are listed instead                |

  Scenario Outline: A store that is restored from a backup
    Then the routed case "<case>" holds

    Examples:
      | case                                                                     |
      | a key that was revoked before a restore is not accepted after a restart  |
      | a configuration that a restored store lacks is not confirmed             |
      | changes under revisions that are assigned again are applied              |
      | two restores in a row are both detected                                  |
      | an endpoint that had left is not used because a backup lists it          |
      | an endpoint that drains is not used because a backup lists it as ready   |
      | an endpoint that a backup lacks stays in use                             |
      | an exhausted quota stays exhausted after a restore                       |
      | a coordinator writes balances again after a restore                      |
      | an instance writes its record with a new lease after a restore           |
      | instances link with one that starts after a restore                      |
      | an answer that the store repeats is not taken for the next one           |

  Scenario Outline: Start and stop of an instance
    Then the routed case "<case>" holds

    Examples:
      | case                                                             |
      | a stopping instance completes its streams                        |
      | a stopping instance closes a connection with its next answer     |
      | all errors in the settings are reported together                 |
      | an instance restarted under the same name serves requests        |
      | an exhausted quota stays exhausted after a kill                  |
      | a team stays within its quota and tolerance if a kill comes before a write|
      | an exhausted quota stays exhausted without coordinator and store |
      | requests are placed while their coordinator is silent            |

  Scenario: The soak's checks detect planted faults
    Then each check of the soak finds a planted fault

  Scenario Outline: A short soak
    Then a short soak of seed <seed> finds nothing

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: Prompts that crash endpoints
    Then the routed case "<case>" holds

    Examples:
      | case                                                                        |
      | a part of prompts that crashes endpoints is not sent any more               |
      | a part that crashes endpoints is held back when its coordinator is killed   |
      | a part that crashes endpoints is held back by instances without links       |
      | a part that crashes endpoints is held back after a restart of all instances |

  Scenario Outline: Answers without length, and bytes without end
    Then the routed case "<case>" holds

    Examples:
      | case                                                                        |
      | a stream without length or chunks is complete when its connection closes    |
      | a stream without length or chunks that ends inside an event is not complete |
      | a stream without length or chunks that ends before its first event is lost  |
      | an endpoint sends bytes that are no head                                    |
      | an endpoint sends a header without end                                      |
      | an endpoint sends headers without end                                       |
      | an endpoint sends interim answers without end                               |
      | an endpoint sends a chunk size without end                                  |
      | an endpoint sends trailers without end                                      |
      | an endpoint sends an event without end                                      |
      | an endpoint sends an event without end in chunks                            |
      | an endpoint sends a body without end                                        |
      | an endpoint sends a failure without end                                     |
      | a report without end is not read to its end                                 |

  @processes
  Scenario Outline: Answers that come while their request is being sent
    Then the routed case "<case>" holds

    Examples:
      | case                                                                         |
      | an answer that is reset during a long upload is not complete                 |
      | an answer that is reset during a long upload is not complete when forwarded  |
      | an answer that is complete before its request was sent is served             |
      | an answer that is reset during a long upload is lost on the own interface    |
      | an answer whose head is odd is none, routed and on the own interface         |

  @alone
  Scenario Outline: A fleet at rest
    Then the routed case "<case>" holds

    Examples:
      | case                                                     |
      | a fleet at rest takes no more of its cores than control may |

  @alone
  Scenario Outline: Answers without end beside other requests
    Then the routed case "<case>" holds

    Examples:
      | case                                                                     |
      | chunks of one byte without end cost their own request only               |
      | chunk extensions without end cost their own request only                 |
      | a stream in chunks of one byte without end cost their own request only   |
      | blank lines without end cost their own request only                      |
      | comments without end cost their own request only                         |
      | sound events without end cost their own request only                     |
      | answers without end on the product's own interface leave time for others |
      | answers without end on the product's own interface take no memory        |
      | the body of an answer to a control call is not read                      |

  Scenario Outline: Endpoints that limit the requests that they take
    Then the routed case "<case>" holds

    Examples:
      | case                                                                  |
      | an endpoint that names a limit gets no more requests than that        |
      | an endpoint that names no limit any more gets more requests again     |
      | a pool whose endpoints all name a limit refuses what they do not take |
      | a limit holds when the coordinator of the pool is killed              |
      | a limit holds among instances without links                           |

  Scenario Outline: Requests that crash endpoints
    Then the routed case "<case>" holds

    Examples:
      | case                                                                               |
      | a request that crashes endpoints of a plain service is not sent any more           |
      | a request that crashes engines is not sent any more                                |
      | a request that crashes endpoints is held back when its coordinator is killed       |
      | a request that crashes endpoints is held back by instances without links           |
      | a request that crashes endpoints is held back after a restart of all instances     |
      | a request stays held back if all instances are away longer than their leases       |

  Scenario Outline: Endpoints of several software versions
    Then the routed case "<case>" holds

    Examples:
      | case                                                                     |
      | a stream goes on at its software version when its endpoint crashes       |
      | a stream that a caller takes up at another instance keeps its version    |
      | a stream keeps its version when the coordinator of its pool is killed    |
      | a stream whose version is not known after a restart of all does not go on |
      | streams of two versions are not mixed by instances without links         |
      | streams of two versions go on after a restart of all instances           |
      | streams of the only version go on after a restart of all instances       |
      | streams of a version that has just left do not go on after a restart of all |

  Scenario Outline: Software versions that join unseen
    Then the routed case "<case>" holds

    Examples:
      | case                                                                               |
      | a stream of a version that joins unseen goes on there if its coordinator knows     |
      | a stream of a version that joins unseen does not go on elsewhere without links     |
      | a stream of a version that joins while instances stand still is not mixed          |
      | a stream of the only version goes on at an instance that has not seen it           |

  @processes
  Scenario Outline: Versions that join while all instances are killed
    Then the routed case "<case>" holds

    Examples:
      | case                                                                          |
      | streams go on after a restart of all during which versions join               |
      | streams go on after a restart of all one by one during which a version joins  |
      | streams go on after a restart of all at the last endpoint of their version    |
      | streams of a version that joins just before a kill of all are not mixed       |

  Scenario Outline: Streams on split routes
    Then the routed case "<case>" holds

    Examples:
      | case                                                                               |
      | streams on a split route go on in their pools when an instance is killed           |
      | streams on a split route go on in their pools when a coordinator is killed         |
      | streams on a split route go on in their pools after a restart of all instances     |
      | streams of a pool that has lost its route do not go on in another one              |
      | streams whose route is moved while all are down do not go on in another pool       |
      | streams go on in their pools after their route has been split                      |

  Scenario Outline: Instances cut off from all endpoints
    Then the routed case "<case>" holds

    Examples:
      | case                                                                               |
      | an instance whose links are refused and whose open ones reset serves its callers   |
      | an instance whose links are refused and whose open ones hanging serves its callers |
      | an instance whose links are refused and whose open ones alive serves its callers   |
      | an instance whose links are hanging and whose open ones reset serves its callers   |
      | an instance whose links are hanging and whose open ones hanging serves its callers |
      | an instance whose links are hanging and whose open ones alive serves its callers   |
      | an instance whose links are reset and whose open ones reset serves its callers     |
      | an instance whose links are reset and whose open ones hanging serves its callers   |
      | an instance whose links are reset and whose open ones alive serves its callers     |
      | most instances of a data centre that are cut off serve their callers               |
      | all instances of a data centre that are cut off serve their callers                |
      | an instance that is cut off reports no endpoint as ended or unreachable            |
      | an instance that reaches endpoints again sends to them itself                      |
      | an instance whose links live on but new ones fail keeps its streams                |
      | a fleet that is cut off from all endpoints refuses truthfully and at once          |
      | a claim whose forwarding instance is killed is not sent again                      |
      | a claim whose forwarding instance freezes is not sent again                        |
      | a stream whose forwarding instance is killed does not look complete                |
      | a retryable request whose forwarding instance is killed is retried elsewhere       |
      | a claim whose forwarding instance ends before it has sent is not sent again        |
      | a retryable request whose forwarding instance ends unread is retried elsewhere     |
      | a caller that disconnects ends its request through another instance                |
      | an endpoint that asks an instance for a pause gets none of others through it       |
      | an endpoint that leaves gets no requests through other instances                   |
      | an endpoint whose record says that it leaves gets none through other instances     |
      | an endpoint whose record is removed gets none through other instances              |
      | an order without a valid signature is not carried out                              |
      | several instances that are cut off share the load of the others                    |
      | a connection whose other end hangs breaks, and one that is silent does not |
      | instances that are cut off together report no endpoint as unreachable |
      | endpoints that are silent for a second are not taken for gone |

  @processes
  Scenario Outline: Instances that stand still
    Then the routed case "<case>" holds

    Examples:
      | case                                                           |
      | instances that stand still for some seconds are linked again   |

  Scenario Outline: Endpoints that bear few rejections
    Then the routed case "<case>" holds

    Examples:
      | case                                                                  |
      | endpoints that bear few rejections do not fall over in an overload    |
      | endpoints that bear few rejections outlive a restart of all instances |
      | endpoints that bear few rejections outlive instances without links    |

  Scenario Outline: Ways to an endpoint that asks for a pause
    Then the routed case "<case>" holds

    Examples:
      | case                                                                   |
      | a pause that an endpoint asks for at the time-out of a request is kept |
      | a pause that a silent endpoint asks for after it was given up is kept  |
      | a pause that an endpoint asks for when the caller has left is kept     |
      | a pause that an endpoint asks for before it reads a long body is kept  |
      | a pause that can not be represented ends no instance                   |
      | a pause is kept by requests that were granted before it                |
      | a pause is kept by requests that are tried again                       |
      | a pause is kept by instances without links                             |
      | a pause is kept when the coordinator of the pool is killed             |

  Scenario Outline: Odd records of other writers
    Then the routed case "<case>" holds

    Examples:
      | case |
      | odd records among those of the endpoints cost themselves only |
      | odd names among those of the endpoints cost themselves only |
      | odd records among those of the instances cost themselves only |
      | items of the store that can not be decoded cost themselves only |
      | a record that is replaced by an odd one is not used until it is back |

  Scenario Outline: Refusals that are no answer to a request
    Then the routed case "<case>" holds

    Examples:
      | case |
      | a refusal without an id is no proof that a request did not run |
      | a refusal with another request's id is no proof that a request did not run |
      | a refusal that comes before its request was sent is no answer to it |
      | a refusal of an earlier try of the same request is no proof |
      | a refusal that repeats on the connection of a forwarded request is no proof |

  Scenario Outline: Anything but the rest of a stream
    Then the routed case "<case>" holds

    Examples:
      | case |
      | a stream does not go on with a refusal |
      | a stream does not go on with an error |
      | a stream does not go on with an error that is an event stream |
      | a stream does not go on with a page |
      | a stream does not go on with an answer without a stamp |
      | a stream does not go on with a large page |
      | a stream does not go on with an error as an event |
      | a stream does not go on with an error as a data event |
      | a stream does not go on with an error event with a false id |
      | a stream does not go on with an error's head |
      | a stream does not go on with an error's head without length |
      | a stream does not go on with an error's text without length |
      | a stream does not go on with the stream from its begin |
      | a stream does not go on with the stream from its begin without length |
      | a stream does not go on with a later part of the stream |
      | a stream does not go on with events out of order |
      | a stream does not go on with an event twice |
      | a stream does not go on with nothing, without length |
      | a stream does not go on with an event and an error |
      | a stream does not go on with an event and an error without length |
      | a stream that another instance forwards does not go on with an error |
      | a stream whose first answer is followed by an error's head is not complete |
      | a stream that goes on rightly after an error is whole |

  Scenario Outline: Streams that faulty endpoints spoil
    Then the routed case "<case>" holds

    Examples:
      | case                                                                      |
      | generated junk in streams reaches no caller                               |
      | an answer that begins with text without an id is not relayed              |
      | an answer that begins with an empty id is not relayed                     |
      | an answer that begins with an id that is no number is not relayed         |
      | an answer that begins with another answer's head is not relayed           |
      | an answer that begins with nothing is not relayed                         |
      | streams whose ids increase by more than one are relayed and go on         |

  @alone
  Scenario Outline: Endpoints that end within a head
    Then the routed case "<case>" holds

    Examples:
      | case                                                                      |
      | an answer whose head is cut anywhere is not relayed                       |
      | an answer whose head is cut is not completed by its body                  |
      | an answer whose head is cut is not relayed by another instance            |
      | an answer whose head is cut is lost on the product's own interface        |

  @alone
  Scenario Outline: Requests during a planned stop
    Then the routed case "<case>" holds

    Examples:
      | case                                                                      |
      | requests that come during a stop are finished or given back untouched     |
      | requests that wait during a stop are finished or given back untouched     |
      | requests that are sent for others during a stop are finished or given back |

  Scenario Outline: Endpoints that are silent
    Then the routed case "<case>" holds

    Examples:
      | case                                                                      |
      | a stream stays at an endpoint that is silent for a second                 |
      | a stream that has not begun stays at an endpoint that is silent for a second |
      | a stream goes on elsewhere when its endpoint stays silent                 |
      | a stream that hangs leaves an endpoint that serves others                 |

  @alone
  Scenario Outline: Callers that read slowly
    Then the routed case "<case>" holds

    Examples:
      | case                                                                       |
      | callers that read slowly do not keep slots from others                     |
      | an answer that is complete is delivered after the time-out of its request  |
      | a stream that its caller reads slowly ends its grant with its last event   |
      | slow readers of an instance that is cut off do not keep slots either       |
      | a stop ends the delivery to a caller that reads slowly                     |
      | slow readers give way when an instance holds too much                      |
      | requests to endpoints that do not read give way with true refusals         |
      | slow readers give way while their coordinator is killed                    |

  Scenario Outline: What the head of an answer says
    Then the routed case "<case>" holds

    Examples:
      | case                                                                          |
      | an answer with no type is no stream                                           |
      | an answer with another type is no stream                                      |
      | an answer with a type that begins alike is no stream                          |
      | an answer with two types is no stream                                         |
      | an answer with two types in the other order is no stream                      |
      | an answer with an encoding is no stream                                       |
      | an answer with status 201 and no type is no stream                            |
      | an answer with status 206 is no stream                                        |
      | an answer with status 204 is no stream                                        |
      | megabytes without the type of a stream reach no caller of a stream            |
      | a stream goes on elsewhere when the rest is no stream                         |
      | an answer that is no stream is none through another instance either           |
      | streams with the usual variants of their head are whole                       |
      | answers of plain routes are relayed unchanged whatever their type             |
      | an answer with an encoding is not the endpoint's body on any route            |
      | an answer of a plain route that is cut is not relayed as complete             |
      | a status that promises that nothing has run is passed on only if that is true |
      | streams are asked for and served while one endpoint in three sends garbage    |
      | an answer with the ids of two requests is none                                |
      | garbage of one endpoint costs no stream that may go on where others have room |

  Scenario Outline: Streams in every form that callers read
    Then the routed case "<case>" holds

    Examples:
      | case                                                         |
      | a sound stream with carriage returns and line feeds is whole |
      | a sound stream with carriage returns is whole                |
      | a sound stream with a byte order mark is whole               |
      | a sound stream with comments is whole                        |
      | a sound stream with empty lines too many is whole            |
      | a stream of comments only counts as silent                   |

  Scenario Outline: Retries while the coordinator changes
    Then the routed case "<case>" holds

    Examples:
      | case                                                          |
      | retries stay within their budget when coordinators are killed |

  Scenario Outline: An earlier build beside the present one
    Then the routed case "<case>" holds

    Examples:
      | case |
      | instances of an earlier build and of this one serve requests together |
      | a quota that an earlier build's coordinator has given out stays used up |
      | balances that were written here are read by an earlier build's coordinator |
      | an earlier build sends requests for an instance that is cut off |
      | requests of an earlier build that is cut off are sent for it |
      | instances that are replaced by this build one after the other lose no request |

  @processes
  Scenario Outline: Requests in every form that callers send
    Then the routed case "<case>" holds

    Examples:
      | case                                                                          |
      | requests in every form that callers may send are served                       |
      | a caller that knows no chunks gets a stream that ends with the connection     |
      | a caller that knows no chunks gets a reset when its stream is cut             |
      | requests that two parsers could read differently are refused unsent           |
