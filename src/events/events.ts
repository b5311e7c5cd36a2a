interface Event {
  number: number;
  level: 'debug' | 'info' | 'warn' | 'error';
  text: string;
}

/** Every event that the product logs; `docs/EVENTS.md` is made from this catalogue. */
const events = {
  started: e(100, 'info', 'The entry VM serves callers.'),
  stopRequested: e(101, 'info', 'A graceful stop has begun.'),
  stopped: e(102, 'info', 'The entry VM has stopped.'),
  stopCut: e(103, 'warn', 'The stop deadline or a second signal cut requests off.'),
  unexpected: e(104, 'error', 'A fault that the code does not foresee was caught.'),
  settingsRefused: e(105, 'error', 'The settings are not valid.'),
  memberHeard: e(200, 'info', 'Another entry VM is heard for the first time.'),
  linkEnded: e(201, 'info', 'A link between entry VMs ended.'),
  rowApplied: e(300, 'debug', 'A row of the table is in force here.'),
  editAccepted: e(301, 'info', 'An edit of the table was accepted.'),
  editRefused: e(302, 'info', 'An edit of the table was refused.'),
  ownershipTaken: e(400, 'info', 'This entry VM now decides for a pool of engines.'),
  ownershipLost: e(401, 'info', 'Another entry VM now decides for a pool of engines.'),
  ownershipHandedOver: e(402, 'info', 'A pool of engines was handed to another entry VM.'),
  engineReset: e(403, 'warn', 'An engine holds other adapters than its owner knew.'),
  loadDone: e(410, 'info', 'An adapter was loaded.'),
  loadFailed: e(411, 'warn', 'A load failed.'),
  evictionDone: e(412, 'info', 'An adapter was evicted.'),
  evictionRefused: e(413, 'info', 'An eviction was given up.'),
  pinsReleased: e(414, 'warn', 'Grants of a vanished entry VM were released.'),
  requestDone: e(500, 'info', 'A request was answered.'),
  requestRefused: e(501, 'info', 'A request was refused.'),
  streamResumed: e(502, 'warn', 'A silent or broken stream was resumed.'),
  chunkDropped: e(503, 'warn', 'A chunk of another request or model was dropped.'),
  callClaimed: e(510, 'debug', 'A non-idempotent call was claimed.'),
  callReleased: e(511, 'info', 'A claim whose call was never sent was released.'),
  callUnknown: e(512, 'warn', 'The outcome of a non-idempotent call is unknown.'),
} satisfies Record<string, Event>;

function e(number: number, level: Event['level'], text: string): Event {
  return { number, level, text };
}

export default events;
