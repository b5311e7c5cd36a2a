interface Mutation {
  /** What is taken away. */
  mechanism: string;
  file: string;
  from: string;
  to: string;
  /** A scenario, or a file of tests, that must then be red. */
  scenario: string;
}

/** Mechanisms and the scenario that fails without each: the proof that a scenario can fail. */
const mutations: Mutation[] = [
  {
    mechanism: 'intent of an eviction on the platform before its order',
    file: 'src/owners/createEngineCommands.ts',
    from: '!row.checksFencing && !(await tryRecordIntent(ownership, engine, name))',
    to: 'false',
    scenario: 'paused-owner',
  },
  {
    mechanism: 'fencing number in the engine-side name',
    file: 'src/owners/createOwners.ts',

    from: '`${model}#${fence}`',
    to: 'model',
    scenario: 'paused-owner',
  },
  {
    mechanism: 'fencing number with an order',
    file: 'test/scenario/createFakeEngine.ts',
    from: 'options.checksFencing && fence < highestFence',
    to: 'false',
    scenario: 'paused-owner-checked',
  },
  {
    mechanism: 'fencing number shown to an engine at a change of owner',
    file: 'src/owners/createInspections.ts',
    from: 'row.checksFencing && !(await tryRaiseFence(ownership, row.address))',
    to: 'ownership.isEnded',
    scenario: 'paused-owner-checked',
  },
  {
    mechanism: 'withdrawal at every holder before an eviction',
    file: 'src/owners/createEngineCommands.ts',
    from: 'if (!(await withdrawals.withdrawEverywhere(ownership, engine, name))) {\n      return false;',
    to: 'if (ownership.isEnded) {\n      return false;',
    scenario: 'fallback-pins',
  },
  {
    mechanism: 'resident adapters served on without an owner',
    file: 'src/completions/createPlacementClient.ts',
    from: 'isOwnerResponsive(owner)\n        ? undefined\n        : tryPlaceWithoutOwner(completion, avoidedEngine)',
    to: 'undefined',
    scenario: 'outage',
  },
  {
    mechanism: 'nonce that tells the own claim after a lost answer',
    file: 'src/calls/createCalls.ts',
    from: "return response.error.kind === 'unknown'\n      ? resolveUncertainClaim(call, key, record)\n      : createPlatformUnavailable();",
    to: 'return createPlatformUnavailable();',
    scenario: 'lost-claim-answer',
  },
  {
    mechanism: 'release of a claim that was never sent',
    file: 'src/calls/createCalls.ts',
    from: '    // The write may still take effect. It is undone once the key-value service responds.\n    releaseUntilDone(key, record.nonce);',
    to: "    claimStates.set(record.nonce, 'sent');",
    scenario: 'lost-claim',
  },
  {
    mechanism: 'unknown outcome kept and said',
    file: 'src/calls/createCalls.ts',
    from: "storeOutcome(key, revision, { ...record, state: { kind: 'unknown' } });",
    to: 'releaseUntilDone(key, record.nonce);',
    scenario: 'lost-service-answer',
  },
  {
    mechanism: 'claim before a call is sent',
    file: 'src/calls/createCalls.ts',
    from: 'compare: [{ key, modRevision: ifRevision }],',
    to: 'compare: [],',
    scenario: 'killed-booking',
  },
  {
    mechanism: 'revision that a row must exceed to replace another',
    file: 'src/table/createTable.ts',
    from: 'existing && existing.revision >= row.revision',
    to: 'existing && existing.revision > row.revision + 1e9',
    scenario: 'test/unit/table.test.ts',
  },
  {
    mechanism: 'rows pushed to, and asked of, other VMs',
    file: 'src/table/createTableController.ts',
    from: 'if (now - lastRequestedAt >= ROWS_REQUEST_INTERVAL_MS) {\n        rowsRequestedAt.set(peer.address, now);',
    to: 'if (now < 0) {\n        rowsRequestedAt.set(peer.address, now);',
    scenario: 'edit-then-outage',
  },
  {
    mechanism: 'refusal by a VM that can not know its table is in force',
    file: 'src/table/createTableController.ts',
    from: 'return loaded && (now - confirmedAt < CONFIRMATION_VALID_MS || host.hasMajority(now));',
    to: 'return loaded && now >= 0;',
    scenario: 'isolated',
  },
  {
    mechanism: 'order and single use of chunks by offset',
    file: 'src/completions/createReorderBuffer.ts',
    from: 'if (chunk.offset < nextOffset) {\n      return [];\n    }',
    to: 'if (chunk.offset >= 0) {\n      return [chunk];\n    }',
    scenario: 'silent-stream',
  },
  {
    mechanism: 'records of calls that hang on no lease',
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
    mechanism: 'no new work for a leaving engine',
    file: 'src/owners/createInspections.ts',
    from: 'const isUsable = !report.value.leaving && !isLeaving(row.address);',
    to: 'const isUsable = report.ok;',
    scenario: 'leaving',
  },
  {
    mechanism: 'wait of a stop for requests in progress',
    file: 'src/entry/createEntry.ts',
    from: 'inFlight > 0 || calls.getPendingWriteCount() > 0',
    to: 'calls.getPendingWriteCount() > 0',
    scenario: 'rolling',
  },
  {
    mechanism: 'service after a stop has begun, while answers of where hold',
    file: 'src/entry/createEntry.ts',
    from: 'await pause(options.handedOutMs);',
    to: 'await pause(0);',
    scenario: 'stopping',
  },
  {
    mechanism: 'redial of a link that is not heard',
    file: 'src/members/createMembers.ts',
    from: 'members.forEach((member) => redialIfSilent(now, member));',
    to: '',
    scenario: 'silent-links',
  },
  {
    mechanism: 'way by a third VM around a cut',
    file: 'src/entry/createEntry.ts',
    from: 'members.hasRecentHeartbeat(now, to) ? undefined : members.tryGetRelay(now, to)',
    to: 'undefined as string | undefined',
    scenario: 'cut-links',
  },
  {
    mechanism: 'take-over from a dead owner',
    file: 'src/owners/createOwners.ts',
    from: '(record && members.isAlive(now, record.owner))',
    to: 'record',
    scenario: 'owner-killed',
  },
];

export default mutations;
