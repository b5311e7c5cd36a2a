interface Event {
  number: number;
  level: 'debug' | 'info' | 'warn' | 'error';
  text: string;
}

/** Every event that an entry VM logs. `docs/EVENTS.md` is generated from this catalogue. */
const events = {
  started: e(100, 'info', 'The entry VM has started and accepts requests.'),
  stopRequested: e(101, 'info', 'The entry VM has begun a graceful stop.'),
  stopped: e(102, 'info', 'The entry VM has stopped.'),
  stopCut: e(
    103,
    'warn',
    'The stop deadline or a second signal ended the stop before all requests were done.',
  ),
  unexpected: e(104, 'error', 'An unexpected error was caught.'),
  settingsRefused: e(105, 'error', 'The settings are not valid.'),
  settingsRead: e(106, 'info', 'The settings file was read again.'),
  clientLimited: e(
    107,
    'warn',
    'Clients outside the limits were refused or disconnected; at most one line a second and reason.',
  ),
  memberHeard: e(200, 'info', 'The first heartbeat of another entry VM was received.'),
  linkEnded: e(201, 'info', 'A link between entry VMs ended.'),
  messageDropped: e(
    202,
    'warn',
    'A message of a kind that this entry VM does not handle was dropped.',
  ),
  messageUnreadable: e(
    204,
    'warn',
    'A message that this build does not understand was dropped; reported once for each VM and kind.',
  ),
  linkCongested: e(
    203,
    'warn',
    'Messages to other entry VMs wait because their links carry less than is sent.',
  ),
  storeLost: e(210, 'warn', 'The key-value service has stopped responding.'),
  storeRegained: e(211, 'info', 'The key-value service responds again.'),
  storeGeneration: e(
    214,
    'info',
    'The key-value service states a new generation: it came back from an older copy, or was first read.',
  ),
  storeRestored: e(215, 'warn', 'The key-value service came back from an older copy of its state.'),
  changesMissed: e(212, 'warn', 'Changes of the key-value service did not reach this entry VM.'),
  changesRepaired: e(213, 'info', 'This entry VM has the changes that it had missed.'),
  manifestApplied: e(220, 'info', 'A new manifest is in force on this entry VM.'),
  manifestRefused: e(
    221,
    'error',
    'A manifest could not be decoded; the previous one stays in force.',
  ),
  versionApplied: e(222, 'info', 'A new version of an adapter is in force on this entry VM.'),
  upstreamSeen: e(230, 'info', 'An upstream was added, restarted or changed its state.'),
  upstreamGone: e(231, 'info', 'An upstream was removed.'),
  upstreamSuspended: e(232, 'warn', 'An upstream was suspended after repeated failures.'),
  upstreamEnded: e(
    234,
    'warn',
    'The process of an upstream has ended before it responded to a request, or right after it began to.',
  ),
  upstreamUnreadable: e(233, 'warn', 'The record of an upstream could not be decoded.'),
  upstreamLimited: e(
    235,
    'info',
    'The limit that an upstream states for requests of all VMs has changed.',
  ),
  limitUnreadable: e(236, 'warn', 'A response states a limit that could not be decoded.'),
  upstreamStatedLeaving: e(
    237,
    'info',
    'An upstream stated in a response, or another VM announced, that it leaves.',
  ),
  upstreamRested: e(
    238,
    'info',
    'An upstream turned a request away and wants no more from this VM for some time.',
  ),
  restUnreadable: e(
    239,
    'warn',
    'A response states a time to stay away that could not be decoded.',
  ),
  serviceBrittle: e(
    244,
    'warn',
    'The upstreams of a service state that they end if they turn many requests away, or no longer do.',
  ),
  allowanceExceeded: e(
    245,
    'warn',
    'Requests of an organisation are refused for want of allowance; reported at most once a second.',
  ),
  allowanceHolderElected: e(246, 'info', 'This entry VM holds the accounts of all allowances now.'),
  upstreamPaced: e(
    247,
    'info',
    'The pace of an upstream that has just started or recovered began, fell or ended; at most one line per second and reason.',
  ),
  traitBlocked: e(250, 'warn', 'Requests with a trait that crashes upstreams are refused.'),
  traitUnblocked: e(251, 'info', 'Requests with a trait are no longer refused.'),
  blockUnreadable: e(252, 'warn', 'The record of a block could not be decoded.'),
  blockUnwritten: e(253, 'warn', 'The record of a block was not written.'),
  softwareVersionsMixed: e(
    260,
    'info',
    'A service has several software versions; the origins of its streams are published.',
  ),
  softwareVersionsRecorded: e(
    261,
    'info',
    'The software versions at which streams of a service can have begun were recorded.',
  ),
  softwareVersionsUnreadable: e(
    262,
    'warn',
    'The record of the software versions of a service could not be decoded.',
  ),
  softwareVersionsUnwritten: e(
    263,
    'warn',
    'The record of the software versions of a service was not written.',
  ),
  streamOriginsUnwritten: e(264, 'warn', 'Origins of streams were not recorded; they will be.'),
  streamOriginsUnreadable: e(265, 'warn', 'A record of origins of streams could not be decoded.'),
  clockJumped: e(240, 'warn', 'The time of day jumped relative to the steady clock.'),
  loopDelayed: e(241, 'warn', 'The event loop of this entry VM was held up.'),
  upstreamsUnreachable: e(
    242,
    'warn',
    'This entry VM reaches no upstream; other VMs carry its requests.',
  ),
  upstreamsReachable: e(243, 'info', 'This entry VM reaches upstreams again.'),
  slotsTaken: e(270, 'info', 'This entry VM issues the slots of a service from now on.'),
  slotsGivenUp: e(271, 'info', 'This entry VM no longer issues the slots of a service.'),
  slotRefused: e(
    272,
    'warn',
    'A request was refused since no slot becomes free before its deadline; at most one line a second.',
  ),
  slotIssuerSilent: e(
    273,
    'warn',
    'The VM that issues the slots of a service does not reply; this one chooses upstreams itself.',
  ),
  rowApplied: e(300, 'debug', 'A table row is in force on this entry VM.'),
  editAccepted: e(301, 'info', 'A table edit was accepted.'),
  editRefused: e(302, 'info', 'A table edit was refused.'),
  ownershipTaken: e(400, 'info', 'This entry VM became the owner of a pool of engines.'),
  ownershipLost: e(401, 'info', 'This entry VM is no longer the owner of a pool of engines.'),
  ownershipHandedOver: e(
    402,
    'info',
    'The ownership of a pool of engines was handed over to another entry VM.',
  ),
  engineReset: e(
    403,
    'warn',
    'An engine restarted or reports again after a failure; its owner reads its adapters again.',
  ),
  engineTaken: e(405, 'info', 'This entry VM became the owner of an engine.'),
  engineGivenUp: e(406, 'info', 'This entry VM is no longer the owner of an engine.'),
  ownershipRefused: e(407, 'info', 'The claim for the ownership of an engine was not written.'),
  engineRead: e(408, 'info', 'The owner read which adapters an engine holds.'),
  engineLost: e(417, 'warn', 'An engine does not respond to its owner.'),
  engineRegained: e(418, 'info', 'An engine responds to its owner again.'),
  engineReadStale: e(419, 'info', 'A report of an engine is older than a command that it counted.'),
  engineOrdered: e(409, 'info', 'A command was sent to an engine.'),
  loadDone: e(410, 'info', 'An adapter was loaded.'),
  loadFailed: e(411, 'warn', 'The load of an adapter failed.'),
  evictionDone: e(412, 'info', 'An adapter was evicted.'),
  evictionRefused: e(413, 'info', 'The eviction of an adapter was abandoned.'),
  pinsReleased: e(414, 'warn', 'The grant of a request was released because its entry VM is gone.'),
  loadWanted: e(415, 'info', 'The load of an adapter was requested from the owner of an engine.'),
  loadRefused: e(416, 'info', 'The request to load an adapter was refused.'),
  requestDone: e(500, 'info', 'A request was completed.'),
  requestRefused: e(501, 'info', 'A request was refused.'),
  streamResumed: e(502, 'warn', 'A silent or broken stream was resumed.'),
  chunkDropped: e(503, 'warn', 'A chunk of another request or model was dropped.'),
  requestRetried: e(504, 'info', 'A request is retried.'),
  requestEnded: e(505, 'info', 'A request has ended.'),
  requestForwarded: e(506, 'info', 'A request was forwarded to another VM, which carries it.'),
  callClaimed: e(510, 'debug', 'A non-idempotent call was claimed.'),
  callReleased: e(
    511,
    'info',
    'The claim of a non-idempotent call that was not sent was released.',
  ),
  callUnknown: e(512, 'warn', 'The outcome of a non-idempotent call is unknown.'),
} satisfies Record<string, Event>;

function e(number: number, level: Event['level'], text: string): Event {
  return { number, level, text };
}

export default events;
