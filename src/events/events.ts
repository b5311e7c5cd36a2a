interface Event {
  number: number;
  level: 'debug' | 'info' | 'warn' | 'error';
  text: string;
}

/** Every event that an entry VM logs. `docs/EVENTS.md` is generated from this catalogue. */
const events = {
  started: define(100, 'info', 'The entry VM has started and accepts requests.'),
  stopRequested: define(101, 'info', 'The entry VM has begun a graceful stop.'),
  stopped: define(102, 'info', 'The entry VM has stopped.'),
  stopCut: define(
    103,
    'warn',
    'The stop deadline or a second signal ended the stop before all requests were done.',
  ),
  unexpected: define(104, 'error', 'An unexpected error was caught.'),
  settingsRefused: define(105, 'error', 'The settings are not valid.'),
  settingsRead: define(106, 'info', 'The settings file was read again.'),
  memberHeard: define(200, 'info', 'The first heartbeat of another entry VM was received.'),
  linkEnded: define(201, 'info', 'A link between entry VMs ended.'),
  messageDropped: define(
    202,
    'warn',
    'A message of a kind that this entry VM does not handle was dropped.',
  ),
  storeLost: define(210, 'warn', 'The key-value service has stopped responding.'),
  storeRegained: define(211, 'info', 'The key-value service responds again.'),
  manifestApplied: define(220, 'info', 'A new manifest is in force on this entry VM.'),
  manifestRefused: define(
    221,
    'error',
    'A manifest could not be decoded; the previous one stays in force.',
  ),
  versionApplied: define(222, 'info', 'A new version of an adapter is in force on this entry VM.'),
  upstreamSeen: define(230, 'info', 'An upstream was added, restarted or changed its state.'),
  upstreamGone: define(231, 'info', 'An upstream was removed.'),
  upstreamSuspended: define(232, 'warn', 'An upstream was suspended after repeated failures.'),
  upstreamUnreadable: define(233, 'warn', 'The record of an upstream could not be decoded.'),
  clockJumped: define(240, 'warn', 'The time of day jumped relative to the steady clock.'),
  rowApplied: define(300, 'debug', 'A table row is in force on this entry VM.'),
  editAccepted: define(301, 'info', 'A table edit was accepted.'),
  editRefused: define(302, 'info', 'A table edit was refused.'),
  ownershipTaken: define(400, 'info', 'This entry VM became the owner of a pool of engines.'),
  ownershipLost: define(401, 'info', 'This entry VM is no longer the owner of a pool of engines.'),
  ownershipHandedOver: define(
    402,
    'info',
    'The ownership of a pool of engines was handed over to another entry VM.',
  ),
  engineReset: define(
    403,
    'warn',
    'An engine restarted or reports again after a failure; its owner reads it anew.',
  ),
  engineTaken: define(405, 'info', 'This entry VM became the owner of an engine.'),
  engineGivenUp: define(406, 'info', 'This entry VM is no longer the owner of an engine.'),
  ownershipRefused: define(
    407,
    'info',
    'The claim for the ownership of an engine was not written.',
  ),
  engineRead: define(408, 'info', 'The owner read which adapters an engine holds.'),
  engineLost: define(417, 'warn', 'An engine does not respond to its owner.'),
  engineRegained: define(418, 'info', 'An engine responds to its owner again.'),
  engineOrdered: define(409, 'info', 'A command was sent to an engine.'),
  loadDone: define(410, 'info', 'An adapter was loaded.'),
  loadFailed: define(411, 'warn', 'The load of an adapter failed.'),
  evictionDone: define(412, 'info', 'An adapter was evicted.'),
  evictionRefused: define(413, 'info', 'The eviction of an adapter was abandoned.'),
  pinsReleased: define(
    414,
    'warn',
    'The grant of a request was released because its entry VM is gone.',
  ),
  loadWanted: define(
    415,
    'info',
    'The load of an adapter was requested from the owner of an engine.',
  ),
  loadRefused: define(416, 'info', 'The request to load an adapter was refused.'),
  requestDone: define(500, 'info', 'A request was completed.'),
  requestRefused: define(501, 'info', 'A request was refused.'),
  streamResumed: define(502, 'warn', 'A silent or broken stream was resumed.'),
  chunkDropped: define(503, 'warn', 'A chunk of another request or model was dropped.'),
  requestRetried: define(504, 'info', 'A request is retried.'),
  requestEnded: define(505, 'info', 'A request has ended.'),
  callClaimed: define(510, 'debug', 'A non-idempotent call was claimed.'),
  callReleased: define(
    511,
    'info',
    'The claim of a non-idempotent call that was not sent was released.',
  ),
  callUnknown: define(512, 'warn', 'The outcome of a non-idempotent call is unknown.'),
} satisfies Record<string, Event>;

function define(number: number, level: Event['level'], text: string): Event {
  return { number, level, text };
}

export default events;
