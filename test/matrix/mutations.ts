interface Mutation {
  /** The mechanism that the replacement disables. */
  mechanism: string;
  file: string;
  from: string;
  to: string;
  /** A scenario, or a test file, that must fail without the mechanism. */
  scenario: string;
}

/** Mechanisms, each with a scenario that fails without it: proof that the scenario can fail. */
const mutations: Mutation[] = [
  {
    mechanism: 'record of an intended eviction before its command is sent',
    file: 'src/owners/createEngineCommands.ts',
    from: '!row.checksFencing && !(await tryRecordIntent(ownership, engine, name))',
    to: 'false',
    scenario: 'paused-owner',
  },
  {
    mechanism: 'fencing number in the adapter name on the engine',
    file: 'src/owners/createOwners.ts',
    from: '`${model}#${fence}`',
    to: 'model',
    scenario: 'paused-owner',
  },
  {
    mechanism: 'check of the fencing number of a command by the engine',
    file: 'test/scenario/createFakeEngine.ts',
    from: 'options.checksFencing && fence < highestFence',
    to: 'false',
    scenario: 'paused-owner-checked',
  },
  {
    mechanism: 'fencing number sent to an engine after a change of owner',
    file: 'src/owners/createInspections.ts',
    from: 'row.checksFencing && !(await tryRaiseFence(ownership, row.address))',
    to: 'ownership.isEnded',
    scenario: 'paused-owner-checked',
  },
  {
    mechanism: 'withdrawal of an adapter at every VM that may hold grants before its eviction',
    file: 'src/owners/createEngineCommands.ts',
    from: 'if (!(await withdrawals.withdrawEverywhere(ownership, engine, name))) {\n      return false;',
    to: 'if (ownership.isEnded) {\n      return false;',
    scenario: 'fallback-pins',
  },
  {
    mechanism: 'use of resident adapters while no owner is reachable',
    file: 'src/completions/createPlacementClient.ts',
    from: 'isOwnerResponsive(owner)\n        ? undefined\n        : tryPlaceWithoutOwner(completion, avoidedEngine)',
    to: 'undefined',
    scenario: 'outage',
  },
  {
    mechanism: 'identification of an own claim by its nonce after a lost response',
    file: 'src/calls/createCalls.ts',
    from: "return response.error.kind === 'unknown'\n      ? resolveUncertainClaim(call, key, record)\n      : createPlatformUnavailable();",
    to: 'return createPlatformUnavailable();',
    scenario: 'lost-claim-answer',
  },
  {
    mechanism: 'release of a claim whose call was never sent',
    file: 'src/calls/createCalls.ts',
    from: '    // The write may still take effect. It is undone once the key-value service responds.\n    releaseUntilDone(key, record.nonce);',
    to: "    claimStates.set(record.nonce, 'sent');",
    scenario: 'lost-claim',
  },
  {
    mechanism: 'record of an unknown outcome of a call',
    file: 'src/calls/createCalls.ts',
    from: "storeOutcome(key, revision, { ...record, state: { kind: 'unknown' } });",
    to: 'releaseUntilDone(key, record.nonce);',
    scenario: 'lost-service-answer',
  },
  {
    mechanism: 'claim of the key before a call is sent',
    file: 'src/calls/createCalls.ts',
    from: 'compare: [{ key, modRevision: ifRevision }],',
    to: 'compare: [],',
    scenario: 'killed-booking',
  },
  {
    mechanism: 'replacement of a row only by a newer revision',
    file: 'src/table/createTable.ts',
    from: 'existing && existing.revision >= row.revision',
    to: 'existing && existing.revision > row.revision + 1e9',
    scenario: 'test/unit/table.test.ts',
  },
  {
    mechanism: 'request for missing table rows from other VMs',
    file: 'src/table/createTableController.ts',
    from: 'if (now - lastRequestedAt >= ROWS_REQUEST_INTERVAL_MS) {\n        rowsRequestedAt.set(peer.address, now);',
    to: 'if (now < 0) {\n        rowsRequestedAt.set(peer.address, now);',
    scenario: 'edit-then-outage',
  },
  {
    mechanism: 'refusal by a VM whose table cannot be confirmed as current',
    file: 'src/table/createTableController.ts',
    from: 'return loaded && (now - confirmedAt < CONFIRMATION_VALID_MS || host.hasMajority(now));',
    to: 'return loaded && now >= 0;',
    scenario: 'isolated',
  },
  {
    mechanism: 'ordering and deduplication of chunks by offset',
    file: 'src/completions/createReorderBuffer.ts',
    from: 'if (chunk.offset < nextOffset) {\n      return [];\n    }',
    to: 'if (chunk.offset >= 0) {\n      return [chunk];\n    }',
    scenario: 'silent-stream',
  },
  {
    mechanism: 'records of calls that are not attached to a lease',
    file: 'src/calls/createCalls.ts',
    from: "const put = { kind: 'put', key, value: JSON.stringify(record) } as const;\n    const response",
    to: "const lease = await host.keyValue.grantLease(60);\n    const put = { kind: 'put', key, value: JSON.stringify(record), lease: lease.ok ? lease.value : '' } as const;\n    const response",
    scenario: 'lapsed-booking',
  },
  {
    mechanism: 'check that a chunk belongs to the request and model',
    file: 'src/completions/createCompletions.ts',
    from: 'if (chunk.id !== id) {',
    to: "if (chunk.id === '') {",
    scenario: 'silent-stream',
  },
  {
    mechanism: 'resumption of a silent stream',
    file: 'src/completions/createCompletions.ts',
    from: "endStream({ kind: 'silent' });",
    to: 'startSilenceTimer(delayMs);',
    scenario: 'silent-stream',
  },
  {
    mechanism: 'exclusion of a leaving engine from new work',
    file: 'src/owners/createInspections.ts',
    from: 'const isUsable = !report.value.leaving && !isLeaving(row.address);',
    to: 'const isUsable = report.ok;',
    scenario: 'leaving',
  },
  {
    mechanism: 'wait for requests in progress during a stop',
    file: 'src/entry/createEntry.ts',
    from: 'inFlight > 0 || calls.getPendingWriteCount() > 0',
    to: 'calls.getPendingWriteCount() > 0',
    scenario: 'rolling',
  },
  {
    mechanism: 'service during a stop while addresses returned by /v1/where stay valid',
    file: 'src/entry/createEntry.ts',
    from: 'await pause(options.handedOutMs);',
    to: 'await pause(0);',
    scenario: 'stopping',
  },
  {
    mechanism: 'redial of a link without recent heartbeats',
    file: 'src/members/createMembers.ts',
    from: 'members.forEach((member) => redialIfSilent(now, member));',
    to: '',
    scenario: 'silent-links',
  },
  {
    mechanism: 'relay through a third VM around a failed link',
    file: 'src/entry/createEntry.ts',
    from: 'members.hasRecentHeartbeat(now, to) ? undefined : members.tryGetRelay(now, to)',
    to: 'undefined as string | undefined',
    scenario: 'cut-links',
  },
  {
    mechanism: 'takeover from a dead owner',
    file: 'src/owners/createOwners.ts',
    from: '(record && members.isAlive(now, record.owner))',
    to: 'record',
    scenario: 'owner-killed',
  },
];

export default mutations;
