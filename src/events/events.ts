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
  settingsRead: e(106, 'info', 'The settings file was read again.'),
  memberHeard: e(200, 'info', 'Another entry VM is heard for the first time.'),
  linkEnded: e(201, 'info', 'A link between entry VMs ended.'),
  messageDropped: e(202, 'warn', 'A message of a kind that this entry VM does not serve.'),
  storeLost: e(210, 'warn', 'The key-value service does not answer.'),
  storeRegained: e(211, 'info', 'The key-value service answers again.'),
  manifestApplied: e(220, 'info', 'A manifest is in force here.'),
  manifestRefused: e(221, 'error', 'A manifest could not be read; the one before stays in force.'),
  versionApplied: e(222, 'info', 'An announced version is in force here.'),
  upstreamSeen: e(230, 'info', 'An upstream has come or changed its state.'),
  upstreamGone: e(231, 'info', 'An upstream is no longer listed.'),
  upstreamSuspended: e(232, 'warn', 'An upstream that fails is left alone for a while.'),
  upstreamUnreadable: e(233, 'warn', 'An entry names no upstream that can be used.'),
  clockJumped: e(240, 'warn', 'The time of day jumped against the steady clock.'),
  rowApplied: e(300, 'debug', 'A row of the table is in force here.'),
  editAccepted: e(301, 'info', 'An edit of the table was accepted.'),
  editRefused: e(302, 'info', 'An edit of the table was refused.'),
  ownershipTaken: e(400, 'info', 'This entry VM now decides for a pool of engines.'),
  ownershipLost: e(401, 'info', 'Another entry VM now decides for a pool of engines.'),
  ownershipHandedOver: e(402, 'info', 'A pool of engines was handed to another entry VM.'),
  engineReset: e(403, 'warn', 'An engine holds other adapters than its owner knew.'),
  engineTaken: e(405, 'info', 'This entry VM now gives the orders to an engine.'),
  engineGivenUp: e(406, 'info', 'This entry VM no longer gives orders to an engine.'),
  ownershipRefused: e(407, 'info', 'An engine could not be taken.'),
  engineRead: e(408, 'info', 'The owner read what an engine holds.'),
  engineLost: e(417, 'warn', 'An engine does not answer its owner.'),
  engineRegained: e(418, 'info', 'An engine answers its owner again.'),
  engineOrdered: e(409, 'info', 'An order was given to an engine.'),
  loadDone: e(410, 'info', 'An adapter was loaded.'),
  loadFailed: e(411, 'warn', 'A load failed.'),
  evictionDone: e(412, 'info', 'An adapter was evicted.'),
  evictionRefused: e(413, 'info', 'An eviction was given up.'),
  pinsReleased: e(414, 'warn', 'Grants of a vanished entry VM were released.'),
  loadWanted: e(415, 'info', 'The owner of an engine is asked for an adapter.'),
  loadRefused: e(416, 'info', 'An adapter that was asked for is not loaded now.'),
  requestDone: e(500, 'info', 'A request was answered.'),
  requestRefused: e(501, 'info', 'A request was refused.'),
  streamResumed: e(502, 'warn', 'A silent or broken stream was resumed.'),
  chunkDropped: e(503, 'warn', 'A chunk of another request or model was dropped.'),
  requestRetried: e(504, 'info', 'A request is sent once more.'),
  requestEnded: e(505, 'info', 'A request has come to its end.'),
  callClaimed: e(510, 'debug', 'A non-idempotent call was claimed.'),
  callReleased: e(511, 'info', 'A claim whose call was never sent was released.'),
  callUnknown: e(512, 'warn', 'The outcome of a non-idempotent call is unknown.'),
} satisfies Record<string, Event>;

function e(number: number, level: Event['level'], text: string): Event {
  return { number, level, text };
}

export default events;
