import { match, P } from 'ts-pattern';
import createTestCluster from './createTestCluster';
import grammar from './grammar';
import type Step from './Step';

const STARTUP_MS = 6000;
const POLL_INTERVAL_MS = 50;
const FINAL_WAIT_MS = 90_000;

interface ScenarioResult {
  /** Failures with file and line; empty if the scenario passes. */
  failures: string[];
  events: string[];
  /** Results of requests by id, for callers that need more than pass or fail. */
  results: ReturnType<typeof createTestCluster>['results'];
}

/**
 * Runs a scenario on a virtual clock. Besides the scenario's own expectations it checks invariants,
 * only against what callers, engines and services observed, not against what the VMs report.
 */
export default async function runScenario(steps: Step[]): Promise<ScenarioResult> {
  const cluster = createTestCluster();
  const failures: string[] = [];
  const adapters = new Map<string, string[]>();
  const checksFencing = new Map<string, boolean>();
  const expectedCuts = new Set<string>();
  const bookings = new Map<string, string>();
  const startsAtLastCheck = new Map<string, number>();
  const requestVms = new Map<string, string>();
  const aliases = new Map<string, string>();
  let baseModel = 'base';
  let vmCount = 0;

  for (const step of steps) {
    try {
      await runStep(step);
    } catch (error) {
      failures.push(`${step.file}:${step.line}: ${step.text}: ${(error as Error).message}`);
      break;
    }
  }
  if (vmCount > 0) {
    await cluster.clock.advance(FINAL_WAIT_MS);
    checkInvariants();
  }
  return { failures, events: cluster.events, results: cluster.results };

  function fail(step: Step, observed: string): void {
    failures.push(`${step.file}:${step.line}: ${step.text}: ${observed}`);
  }

  function getVmByRole(role: 'owner' | 'other'): string {
    const found = [...cluster.vms].find(([name, vm]) => {
      const isUsable = !vm.isDead && !vm.isFrozen && ![...aliases.values()].includes(name);
      return isUsable && vm.entry.owners.isOwner('base') === (role === 'owner');
    });
    if (!found) {
      throw new Error(`there is no ${role}`);
    }
    return found[0];
  }

  async function runStep(line: Step): Promise<void> {
    const step = { ...line, words: line.words.map((word) => aliases.get(word) ?? word) };
    const { clock, keyValueService, links, vms, engines } = cluster;
    const parse = (word: string) => parseQuantity(word);
    await match(step.words)
      .with(['vms', P.string], ([, count]) => {
        vmCount = parse(count);
      })
      .with(
        ['engine', P.string, 'slots', P.string, P.union('checks', 'ignores')],
        ([, id, , slots, kind]) => {
          checksFencing.set(id, kind === 'checks');
          cluster.addEngine(
            id,
            { slots: parse(slots), checksFencing: kind === 'checks' },
            baseModel,
          );
        },
      )
      .with(['adapter', P.string, P.string, ...P.array(P.string)], ([, name, ...versions]) => {
        adapters.set(name, versions);
        cluster.baseModels.set(name, baseModel);
      })
      .with(['base', P.string], ([, name]) => {
        baseModel = name;
      })
      .with(['start'], startVms)
      .with(
        ['request', P.string, P.string, 'at', P.string, ...P.array(P.string)],
        ([, id, model, , vm, ...options]) => {
          const tokens = getOption(options, 'tokens') ?? 8;
          requestVms.set(id, vm);
          cluster.sendCompletion(
            id,
            model,
            requireNode(vm),
            tokens,
            getOption(options, 'deadline'),
          );
        },
      )
      .with(['book', P.string, 'key', P.string, 'at', P.string], ([, id, , key, , vm]) => {
        bookings.set(id, key);
        requestVms.set(id, vm);
        cluster.sendBooking(id, key, requireNode(vm));
      })
      .with(
        ['edit', P.string, P.string, 'weight', P.string, 'at', P.string],
        ([, id, adapter, , weight, , vm]) => {
          requestVms.set(id, vm);
          cluster.editWeight(id, adapter, parse(weight), requireNode(vm));
        },
      )
      .with(['let', P.string, 'be', P.union('owner', 'other')], ([, alias, , role]) => {
        aliases.set(alias, getVmByRole(role));
      })
      .with(['wait', P.string], ([, duration]) => clock.advance(parse(duration)))
      .with(['kill', P.string], ([, vm]) => cluster.kill(requireNode(vm)))
      .with(['thaw', P.string], ([, vm]) => cluster.thaw(requireNode(vm)))
      .with(['stop', P.string], ([, vm]) => cluster.stop(requireNode(vm)))
      .with(['start', P.string], ([, vm]) => cluster.startVm(vm))
      .with(['freeze', P.string], ([, vm]) => {
        vms.get(requireNode(vm))!.isFrozen = true;
      })
      .with(['freeze', P.string, 'at', 'unload'], ([, vm]) => {
        vms.get(requireNode(vm))!.freezeAtUnload = true;
      })
      .with([P.union('cut', 'heal'), P.string, 'platform'], ([kind, vm]) =>
        keyValueService.setDisconnected(requireNode(vm), kind === 'cut'),
      )
      .with([P.union('cut', 'heal', 'silence'), P.string, '->', P.string], ([kind, from, , to]) =>
        links[kind](cluster.getAddress(requireNode(from)), cluster.getAddress(requireNode(to))),
      )
      .with([P.union('cut', 'heal', 'silence'), P.string, P.string], ([kind, left, right]) => {
        links[kind](cluster.getAddress(requireNode(left)), cluster.getAddress(requireNode(right)));
        links[kind](cluster.getAddress(right), cluster.getAddress(left));
      })
      .with(['platform', P.union('down', 'up')], ([, kind]) =>
        keyValueService.setDown(kind === 'down'),
      )
      .with(['platform', 'slow', P.string], ([, , duration]) => {
        keyValueService.faults.slowMs = parse(duration);
      })
      .with(['platform', 'lose', P.string], ([, , count]) => {
        keyValueService.faults.loseResponses = parse(count);
      })
      .with(['platform', 'watch', P.union('silent', 'normal')], ([, , kind]) => {
        keyValueService.faults.silentWatches = kind === 'silent';
      })
      .with(['lapse', P.string], ([, vm]) => keyValueService.expireLeases(requireNode(vm)))
      .with(['engine', P.string, 'restart'], ([, id]) => engines.get(requireNode(id))!.restart())
      .with(['engine', P.string, P.union('freeze', 'thaw')], ([, id, kind]) => {
        engines.get(requireNode(id))!.faults.isFrozen = kind === 'freeze';
      })
      .with(['engine', P.string, 'leaving'], ([, id]) => {
        const address = cluster.getEngineAddress(requireNode(id));
        engines.get(id)!.faults.isLeaving = true;
        cluster.updateVmList(id, { address, role: 'upstream', state: 'leaving' });
      })
      .with(['engine', P.string, P.union('reorder', 'foreign', 'repeat')], ([, id, kind]) => {
        engines.get(requireNode(id))!.faults.nextStreamFault = kind;
      })
      .with(['engine', P.string, 'fail', P.string], ([, id, , count]) => {
        engines.get(requireNode(id))!.faults.failLoads = parse(count);
      })
      .with(['engine', P.string, 'slow', P.string], ([, id, , duration]) => {
        engines.get(requireNode(id))!.faults.loadMs = parse(duration);
      })
      .with(['engine', P.string, 'mute', P.string], ([, id, , token]) => {
        engines.get(requireNode(id))!.faults.muteAtToken = parse(token);
      })
      .with(['service', 'leaving'], () => {
        const address = '127.0.0.1:9100';
        cluster.updateVmList('desk1', { address, role: 'upstream', state: 'leaving' });
      })
      .with(['service', P.union('down', 'up')], ([, kind]) => {
        cluster.service.faults.isDown = kind === 'down';
      })
      .with(['service', 'lose', P.string], ([, , count]) => {
        cluster.service.faults.loseResponses = parse(count);
      })
      .with(['list', 'lag', P.string], ([, , duration]) => cluster.setVmListDelay(parse(duration)))
      .with(['expect', ...P.array(P.string)], ([, ...rest]) => checkExpectation(step, rest))
      .otherwise(() => {
        const matchingForms = grammar.filter((form) => form.split(/[ |]/)[0] === step.words[0]);
        const forms = matchingForms.length > 0 ? matchingForms : grammar;
        throw new Error(`not a step; expected ${forms.join('  or  ')}`);
      });
  }

  function requireNode(name: string): string {
    if (!cluster.vms.has(name) && !cluster.engines.has(name)) {
      throw new Error(`there is no ${name}`);
    }
    return name;
  }

  async function startVms(): Promise<void> {
    for (let index = 1; index <= vmCount; index += 1) {
      cluster.startVm(`vm${index}`);
    }
    await cluster.clock.advance(STARTUP_MS);
    await cluster.fillTable(adapters, checksFencing);
    await cluster.clock.advance(STARTUP_MS);
  }

  async function checkExpectation(step: Step, words: string[]): Promise<void> {
    await match(words)
      .with(['key', P.string, 'ran', P.string], ([, key, , count]) => {
        const ran = cluster.service.getRunCount(cluster.getBookingBody(key));
        if (ran !== parseQuantity(count)) {
          fail(step, `ran ${ran} times`);
        }
      })
      .with(['owner', P.string], ([, expected]) => {
        const owners = [...cluster.vms]
          .filter(([, vm]) => !vm.isDead && !vm.isFrozen && vm.entry.owners.isOwner('base'))
          .map(([name]) => name);
        const isMet =
          expected === 'one' ? owners.length === 1 : owners.join() === expected.replace('none', '');
        if (!isMet) {
          fail(step, `owners are ${owners.join(' ') || 'none'}`);
        }
      })
      .with(['at', 'most', P.string, 'loads', 'a', 'second'], ([, , count]) => {
        const maxLoads = cluster.getMaxLoadsPerSecond();
        if (maxLoads > parseQuantity(count)) {
          fail(step, `${maxLoads} loads`);
        }
      })
      .with(['resident', P.string, 'on', P.string], ([, model, , engine]) => {
        const names = cluster.engines.get(requireNode(engine))!.getResidentAdapters();
        if (!names.some((name) => name.startsWith(`${model}#`))) {
          fail(step, `resident are ${names.join(' ')}`);
        }
      })
      .with(
        ['row', P.string, 'weight', P.string, 'at', P.string],
        ([, adapter, , weight, , vm]) => {
          const row = cluster.vms
            .get(requireNode(vm))!
            .entry.table.tryGetValue('adapters', adapter);
          if (row?.weight !== parseQuantity(weight)) {
            fail(step, `weight is ${row?.weight}`);
          }
        },
      )
      .with(['in', 'force', 'within', P.string], ([, , , duration]) =>
        expectInForce(step, parseQuantity(duration)),
      )
      .with(['starts', 'on', 'leaving', P.string, P.string], ([, , , engine, count]) => {
        const starts = cluster.engines.get(requireNode(engine))!.getStartsWhileLeaving();
        const startsBefore = startsAtLastCheck.get(engine);
        startsAtLastCheck.set(engine, starts);
        if (starts - (startsBefore ?? 0) !== parseQuantity(count)) {
          fail(step, `${starts - (startsBefore ?? 0)} starts`);
        }
      })
      .with([P.string, 'stopped'], ([vm]) => {
        if (cluster.vms.get(requireNode(vm))!.cutRequestCount !== 0) {
          fail(step, `cut ${cluster.vms.get(vm)!.cutRequestCount}`);
        }
      })
      .with([P.string, 'answered', ...P.array(P.string)], ([id, , model]) => {
        const result = getResult(id);
        if (!result?.isWhole || (model !== undefined && result.model !== model)) {
          fail(step, `saw ${JSON.stringify(result)}`);
        }
      })
      .with([P.string, 'refused', ...P.array(P.string)], ([id, , ...rest]) => {
        const result = getResult(id);
        const ranIndex = rest.indexOf('ran');
        const code = ranIndex === 0 ? undefined : rest[0];
        const ran = ranIndex < 0 ? undefined : rest[ranIndex + 1];
        const isMet =
          result?.code !== undefined &&
          (code === undefined || result.code === code) &&
          (ran === undefined || result.ran === ran);
        if (!isMet) {
          fail(step, `saw ${JSON.stringify(result)}`);
        }
      })
      .with([P.string, P.union('pending', 'settled', 'cut')], ([id, expected]) => {
        const result = getResult(id);
        const state = result ? 'settled' : 'pending';
        if (expected === 'cut') {
          expectedCuts.add(id);
        } else if (state !== expected) {
          fail(step, `is ${state}`);
        }
      })
      .otherwise(() => {
        const forms = grammar.filter((form) => form.startsWith('expect'));
        throw new Error(`not an expectation; expected ${forms.join('  or  ')}`);
      });
  }

  function getResult(id: string) {
    if (!cluster.results.has(id)) {
      throw new Error(`there is no request ${id}`);
    }
    return cluster.results.get(id);
  }

  async function expectInForce(step: Step, withinMs: number): Promise<void> {
    const runningVms = [...cluster.vms.values()].filter((vm) => !vm.isDead && !vm.isFrozen);
    const newestRevision = Math.max(
      ...cluster.keyValueService.getEntries('/baobablink/table/').map((entry) => entry.modRevision),
    );
    const isMet = () => runningVms.every((vm) => vm.entry.table.getRevision() >= newestRevision);
    for (let elapsedMs = 0; elapsedMs < withinMs && !isMet(); elapsedMs += POLL_INTERVAL_MS) {
      await cluster.clock.advance(POLL_INTERVAL_MS);
    }
    if (!isMet()) {
      fail(step, `revisions ${runningVms.map((vm) => vm.entry.table.getRevision()).join(' ')}`);
    }
  }

  /**
   * Checks the invariants of all scenarios: no unload of an adapter in use, a final answer for each
   * request unless its VM is dead or frozen or the scenario expects the cut, no wrong answer, no run
   * of a request that was refused as "not run", and at most one run for each key of a booking.
   */
  function checkInvariants(): void {
    const lastStep = steps.at(-1)!;
    const invariantStep = { ...lastStep, line: lastStep.line, text: 'always' };
    cluster.engines.forEach((engine, id) =>
      engine.violations.forEach((violation) => fail(invariantStep, `${id} ${violation}`)),
    );
    cluster.results.forEach((result, id) => {
      if (!result) {
        const vm = cluster.vms.get(requestVms.get(id) ?? '');
        if (!expectedCuts.has(id) && !vm?.isDead && !vm?.isFrozen) {
          fail(invariantStep, `${id} got no final answer`);
        }
        return;
      }
      if (result.status === 200 && result.code === undefined && !result.isWhole) {
        fail(invariantStep, `${id} got a wrong answer: ${JSON.stringify(result)}`);
      }
      const hasRun =
        result.requestId !== undefined &&
        [...cluster.engines.values()].some((engine) => engine.hasRun(result.requestId!));
      if (result.ran === 'no' && hasRun) {
        fail(invariantStep, `${id} was refused with "not run" and ran`);
      }
    });
    bookings.forEach((key, id) => {
      const ran = cluster.service.getRunCount(cluster.getBookingBody(key));
      if (ran > 1) {
        fail(invariantStep, `key ${key} ran ${ran} times`);
      }
      const result = cluster.results.get(id);
      const hasRun = result?.requestId !== undefined && cluster.service.hasRun(result.requestId);
      // After such a refusal another request with the key may run, but this one must never run.
      if (result?.ran === 'no' && (hasRun || result.keyRuns! > 0)) {
        fail(invariantStep, `${id} was refused with "not run" and it or its key had run`);
      }
      if (ran === 0 && cluster.results.get(id)?.status === 200) {
        fail(invariantStep, `${id} was answered and never ran`);
      }
    });
  }
}

function getOption(words: string[], name: string): number | undefined {
  const index = words.indexOf(name);
  return index < 0 ? undefined : parseQuantity(words[index + 1] ?? '');
}

/** Parses `250`, `250ms` or `2s`; returns durations in milliseconds. Throws on other words. */
function parseQuantity(word: string): number {
  const parts = /^(\d+(?:\.\d+)?)(ms|s)?$/.exec(word);
  if (!parts) {
    throw new Error(`${word}: expected a number or a duration such as 250ms or 2s`);
  }
  return Number(parts[1]) * (parts[2] === 's' ? 1000 : 1);
}
