Feature: Decisions of routed deployments, without input and output
  Each case replays the load or the fault for which a rule was made.

  Scenario Outline: Decision case
    Then the decision case "<case>" holds

    Examples:
      | case                                                                       |
      | a team within its quota is never refused                                   |
      | a request larger than the burst is admitted and paid off                   |
      | bursts may use what the window tolerates                                   |
      | a new coordinator admits no second burst                                   |
      | the first coordinator of a deployment starts with full buckets             |
      | a coordinator continues with the balances of the previous one              |
      | instances without links share the quotas that a pool's coordinator had     |
      | an instance that is linked to few of those that are listed gives out its part |
      | a team that used little is not refused after a takeover                    |
      | balances that can not be read count as spent                               |
      | a start of all instances admits no burst                                   |
      | many small shares admit no more than their sum                             |
      | retries stay within their budget                                           |
      | an endpoint that asks frontends for a pause gets no request of them        |
      | if all endpoints ask for a pause requests are refused until its end        |
      | the time of a Retry-After header is read by its standard                   |
      | a slow instance does not coordinate                                        |
      | a pool does not move to weak instances when the strong ones are slow       |
      | an instance is slow if its timers are late, not after one pause            |
      | timers of a process with too much work are late each time                  |
      | ticks come only while they are needed                                      |
      | a burst at a coordinator that lags is refused where it arrives             |
      | a frontend refuses what its coordinator has just refused for its lag       |
      | a request is not placed blindly while its coordinator answers others       |
      | a request whose coordinator answers nobody, or not this one, is placed     |
      | requests that are stale are refused although reports keep coming           |
      | an instance with little to do handles each thing at once                   |
      | a burst of events takes an instance fewer turns, and delays none for long  |
      | an instance without requests takes half the turns, and is late for none    |
      | a process that is late for lack of processor time does not wait as well    |
      | a large message is read as fast as it comes, also at rest                  |
      | timers of an instance at rest are on time                                  |
      | reads end at their deadlines, which move either way                        |
      | an answer that is reset just when it is late is not complete               |
      | a silent endpoint is noticed in time, and may still answer afterwards      |
      | an instance that starts alone opens links at once                          |
      | a coordinator that returns does not count what ended or began meanwhile    |
      | a lost report of a first byte is corrected by a registration               |
      | a bound that can not be met is refused at the start                        |
      | changes in the store are read within every bound                           |
      | links that an instance of a large fleet does not use are closed            |
      | an endpoint that is granted before it is known is read at once             |
      | a coordinator of a large fleet knows new endpoints as soon as in a small one |
      | the store is listed again without a pause when its history is compacted    |
      | the age of the configuration includes suspension                           |
      | a request leaves a silent endpoint that notices it, or is gone             |
      | a late answer of a process that was replaced says nothing of the next one  |
      | what peers heard of a process that was replaced is not believed            |
      | a peer's confirmation counts from the heartbeat that it answers            |
      | a slowdown of an engine is learned within two seconds                      |
      | the recovery of an engine is learned within two seconds                    |
      | a failing endpoint gets one request at a time                              |
      | an endpoint that answers garbage at once does not draw the load            |
      | one endpoint of two that answers garbage at once does not draw the load    |
      | an endpoint that fails a part of its requests is still used                |
      | if all endpoints fail none is excluded                                     |
      | a retry avoids the endpoint that failed the request                        |
      | with no endpoint a routed request is refused as not run                    |
      | in a burst the most urgent requests are served and others get a retry time |
      | short requests of low urgency are served in an overload by urgent ones     |
      | a guaranteed share changes the order only behind the first rank of a tier  |
      | a rank is owed time until it got as great a part as more urgent ones       |
      | a waiting request is refused before its caller abandons it                 |
      | a burst of one second is served late rather than not at all                |
      | late requests do not delay requests that can be on time                    |
      | late requests that can not be granted in time are refused at once          |
      | retries after a burst are spread                                           |
      | in a long burst the retry time of a refusal is after its end               |
      | fallback placement of all instances stays within an endpoint's slots       |
      | instances of a large fleet connect to their neighbours on the ring only    |
      | coordinators do not change when records expire in an outage                |
      | frontends that see a new coordinator first are not refused for quotas      |
      | endpoints of a new coordinator are asked at once whether they leave        |
      | only instances of high weight become coordinators                          |
      | the longest prefix wins                                                    |
      | a split route follows its weights                                          |
      | a stalled reader of logs does not block the process                        |
      | a flood of one line is sampled and errors are kept                         |
      | an invalid record is refused with the name of the faulty field             |
      | a part is held back after three ends in a row, and its neighbours are not  |
      | a part of prompts that were answered before needs more ends                |
      | a part that crashes endpoints of one pool is held back at all pools        |
      | endpoints that end together hold no part back                              |
      | broken answers of endpoints that are still there hold no part back         |
      | a complete answer clears the parts of its prompt, at all instances         |
      | a second part that crashes endpoints is found beside the first one         |
      | a request is held back after three ends, also if they come at once         |
      | repeated requests with a part that crashes endpoints do not explain it     |
      | a request that crashes endpoints is sent three times more at most, in a day |
      | trials of a request are counted by an instance that starts later           |
      | a coordinator that does not reach most instances starts no trial of a request |
      | a sound request that was lost three times is released by its trial         |
      | evidence against requests is bounded in memory and in reports              |
      | one request at a time is the trial of a part, and rarer after each end     |
      | waiting requests with a part that is then held back are refused            |
      | a frontend without its coordinator does not place a part that is held back |
      | 195 instances hold back a part in time, each at a bounded cost             |
      | a fifth of the endpoints that end do not fill the links between instances  |
      | a report of evidence is bounded, and begins with the most suspect parts    |
      | a new instance does not hold back a part that others have seen answered    |
      | evidence in the store keeps its age, and clocks that differ do no harm     |
      | evidence that an instance wrote while it was alone is removed later        |
      | one instance writes evidence to the store, and each that reaches no others |
      | limits that are not numbers are refused, and very large ones are bounded   |
      | a burst beyond an endpoint's limit waits or goes to other endpoints        |
      | an endpoint that takes no requests is tried now and then                   |
      | requests wait for a pool whose endpoints all have a limit                  |
      | a new coordinator knows the limits, and gives no burst of its own          |
      | instances that are cut off from each other stay within a limit together    |
      | a frontend without its coordinator keeps a part of an endpoint's limit     |
      | an endpoint's limit ends with an answer to a later request that names none |
      | 195 instances learn of a limit in time, each at a bounded cost             |
      | request keys differ after a restart                                        |
      | a request is explained from its log lines                                  |
      | an endpoint's stand-in records the end of a connection that its script notices |
      | test processes that run at once take different ports                       |
      | the page of log messages names all messages in the code                    |
      | digests of 64 bits pass between instances                                  |

  Scenario Outline: Software versions of streams
    Then the decision case "<case>" holds

    Examples:
      | case |
      | a stream that nobody knows goes on if its pool has had one version only |
      | a stream that nobody knows does not go on soon after a start |
      | a version whose endpoints have left counts as long as a stream may be taken up |
      | versions that came and went while the store was away are not ruled out |
      | versions that came and went are known from the history of the store |
      | what an instance keeps about streams is bounded in number and in time |
      | a request for one version is granted endpoints of that version only |
      | a frontend without its coordinator lets no stream go on at another version |
      | a stream that is taken up may go on later than a new one may begin |
      | all streams of several pools that may be taken up are stored |
      | streams are stored again after a restore of the store |
      | telling 195 instances' streams costs their coordinators a bounded part |
      | a stream from before a start is of the version that was stored then |
      | an instance that starts last is told what was stored before |
      | who adds a version tells what was stored before, for a time |
      | new streams begin at a version that joins once the store names it |
      | whenever writing ends streams are of one version, or are stored |

  Scenario Outline: Links between instances
    Then the decision case "<case>" holds

    Examples:
      | case |
      | instances that were frozen or cut off are linked again within two seconds |
      | instances of a large fleet are linked again without a burst of connections |
      | an instance whose record the store has lost is linked again too |
      | a member that comes back without a link is judged by what others tell of it |
      | a neighbour that only gossip calls live is linked while others count as dead |

  Scenario Outline: Retry budgets
    Then the decision case "<case>" holds

    Examples:
      | case                                                                |
      | coordinators that follow each other stay within one retry budget    |
      | an instance that places requests itself keeps to a retry budget     |

  Scenario Outline: Reading of streams
    Then the decision case "<case>" holds

    Examples:
      | case                                                                      |
      | callers read what the relay passes on as the events that it has checked   |

  Scenario Outline: Pools of streams
    Then the decision case "<case>" holds

    Examples:
      | case                                                                          |
      | the pools of a route are those that it had while streams may be taken up      |
      | a new route has the streams of the route whose paths it takes over            |
      | an unknown stream of a pool that shares its routes has no known version       |
      | the next coordinator is told of which pool streams are                        |
      | a route that was moved while all instances were down has two pools for a while |

  Scenario Outline: Instances cut off from all endpoints
    Then the decision case "<case>" holds

    Examples:
      | case                                                                          |
      | an order is valid only as it was signed and at the process that it names      |
      | an order that comes again is not carried out                                  |
      | bodies that are held for other instances are bounded by their size            |
      | an instance counts as cut off when several endpoints in a row are not reached |
      | an instance that found ended endpoints is not cut off for long                |
      | requests of cut off instances are spread over all that reach endpoints        |
      | few requests of a cut off instance are spread by capacity too                 |
      | an instance that comes back is not asked for all that it missed               |
      | an instance that could not send a request is not asked again for a moment     |
      | an end that is in doubt counts once an endpoint is reached again              |
      | an end that is in doubt counts once its process is listed no more             |
      | an endpoint's end is told from a cut if any of a few others is reached        |
      | instances that could not send a request are asked again without others        |
      | a slow instance is asked only if no other one reaches endpoints |

  Scenario Outline: A store whose calls fail
    Then the decision case "<case>" holds

    Examples:
      | case                                                                          |
      | an endpoint that leaves is removed in time although watches fail              |
      | only an outage that lets records expire lets missing ones count as expired    |
      | a restored store may lack any record                                          |
      | a write that is carried out late replaces no newer value                      |

  Scenario Outline: Unforeseen errors in tasks
    Then the decision case "<case>" holds

    Examples:
      | case                                                                        |
      | an error in a late answer costs this answer                                 |
      | an error in the check of an endpoint costs this check                       |
      | ends stay in doubt for a moment longer after an error                       |
      | an error in a probe leaves the probes of other endpoints running            |
      | an error on a link costs this link, whoever has opened it                   |
      | an error in sending a long body ends the wait for its answer                |
      | an error in a claim's last write costs this write                           |
      | an error in cancelling a request at its endpoint costs this cancellation    |
      | an error in reading an endpoint's report costs this report                  |
      | a service is started again after an error until it returns                  |
      | an error beside a cancellation does not end the others                      |

  @first @fleet
  Scenario Outline: Quotas of a fleet
    Then the decision case "<case>" holds

    Examples:
      | case |
      | a team stays within its quota while nothing fails |
      | a team stays within its quota while its coordinator is slow and not gone |
      | a team stays within its quota while all instances are slow |
      | a team stays within its quota while a third of the fleet is split off |
      | a team stays within its quota while the fleet is split into halves |
      | a team stays within its quota while a third of the fleet is cut off one by one |
      | a team stays within its quota when its coordinator is killed |
      | a team stays within its quota when half of the instances are killed |
      | a team stays within its quota while coordinators are slow by turns |
      | a team stays within its quota while coordinators are slow by turns without the store |
      | a team stays within its quota when all instances are killed |
      | a team stays within its quota while all instances restart by turns |
      | 61 instances stay within a quota while their coordinators are slow by turns |
      | 61 instances stay within a quota while their coordinator is slow and not gone |
      | 61 instances stay within a quota while a third of them is split off |
      | a team that uses several pools stays within its quota |
      | a team within its quota is not refused for it while nothing fails |
      | a team that asks for more than its quota gets most of it while nothing fails |
      | a lower quota is kept soon after it was set |
      | a team stays within its quota whatever happens |
      | a request that waited for its quota to be known is charged and answered once |
      | an instance alone admits requests until much of them is unreported |

  @first @fleet
  Scenario Outline: What coordinators hand on of quotas
    Then the decision case "<case>" holds

    Examples:
      | case |
      | a team stays within its quota when its store answers 503 to the coordinator before its end |
      | a team stays within its quota when its store limits the coordinator before its end |
      | a team stays within its quota when its store resets the coordinator before its end |
      | a team stays within its quota when its store is silent to the coordinator before its end |
      | a team stays within its quota when its store is not reached by the coordinator before its end |
      | a team stays within its quota when an old write is done late |
      | a team stays within its quota when an old write is done late and all restart |
      | a team stays within its quota when an old write is done late beside the next coordinator |
      | a team stays within its quota when two coordinators end in turn |
      | a team stays within its quota when a coordinator ends with its follower |
      | a team stays within its quota when coordinators stand still |
      | a team stays within its quota when a coordinator ends and returns |
      | a team stays within its quota when a coordinator ends without a store |
      | a team stays within its quota when a coordinator ends cut off |
      | a team stays within its quota when two handovers overlap |
      | a team stays within its quota when a coordinator returns without a store |
      | 61 instances stay within a quota when coordinators end or stand still |
      | a team within its quota is not refused when coordinators change |

  Scenario Outline: Paces, endpoint memory, cached prompts and data centres
    Then the decision case "<case>" holds

    Examples:
      | case |
      | a load report has three or four figures, and bad ones cost only themselves |
      | load reports that can not be read cost one log line in ten seconds |
      | reported paces make the longest pauses shorter, and draw no flock |
      | a pace counts for as long as earlier ones lasted, and not if it is worthless |
      | an endpoint's kind is learned apart from its pace, and from its batch |
      | an endpoint that is slower than it reports is still passed over |
      | paces pass between builds that know them and builds that do not |
      | coordinator and fallback placement together stay within an endpoint's memory |
      | an endpoint's memory bounds a request that runs alone, and refuses larger ones |
      | answers longer than hinted seldom exceed an endpoint's memory |
      | the parts of a prompt are passed on as a few digests, each of all before it |
      | a part counts within the reuse window, and until it had to yield its memory |
      | a request goes where its prompt is held, unless that takes longer |
      | prompts that endpoints do not hold after all cost no confidence in their speed |
      | routes with affinity name their prompts, for a time that settings bound |
      | of endpoints about as good the one in the frontend's data centre is used |

  Scenario Outline: Requests granted before a slot is free
    Then the decision case "<case>" holds

    Examples:
      | case                                                                               |
      | slots of an endpoint are not idle while a release and a grant are on their way     |
      | an endpoint that is close has no long queue                                        |
      | wrong load reports cost an endpoint no more than half of its slots in its queue    |
      | endpoints get requests beyond their slots only where the settings say so           |
      | a coordinator that lags refuses the least urgent requests first                    |

  Scenario Outline: Bytes that an instance holds
    Then the decision case "<case>" holds

    Examples:
      | case                                                              |
      | slow readers give way before sound callers, the slowest first     |
      | one team's slow readers leave room for the readers of others      |
      | requests that wait for endpoints give way after unread answers    |
      | without a known memory nothing gives way                          |

  Scenario Outline: Cost of an instance
    Then the decision case "<case>" holds

    Examples:
      | case                                                              |
      | ticks of several subscribers share wake-ups and keep their rates  |
      | log lines are those of the library's formatter                    |
