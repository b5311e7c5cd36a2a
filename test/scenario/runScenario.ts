import { match, P } from 'ts-pattern';
import createWorld from './createWorld';
import grammar from './grammar';
import type Step from './Step';

const READY_MS = 6000;
const POLL_MS = 50;
const CLOSING_MS = 90_000;

interface Verdict {
  /** What was wrong, with file and line; empty when the scenario holds. */
  faults: string[];
  events: string[];
  /** The results of requests, for those who want to know more than whether it holds. */
  results: ReturnType<typeof createWorld>['results'];
}

/**
 * Runs a scenario in injected time. Beside its own expectations it checks what must always hold,
 * from what callers, engines and services saw: the product's own word counts for nothing.
 */
export default async function runScenario(steps: Step[]): Promise<Verdict> {
  const world = createWorld();
  const faults: string[] = [];
  const adapters = new Map<string, string[]>();
  const checks = new Map<string, boolean>();
  const cutOff = new Set<string>();
  const bookings = new Map<string, string>();
  const leavingStarts = new Map<string, number>();
  const requestVms = new Map<string, string>();
  const aliases = new Map<string, string>();
  let base = 'base';
  let vmCount = 0;

  for (const step of steps) {
    try {
      await runStep(step);
    } catch (error) {
      faults.push(`${step.file}:${step.line}: ${step.text}: ${(error as Error).message}`);
      break;
    }
  }
  if (vmCount > 0) {
    await world.time.advance(CLOSING_MS);
    checkAlways();
  }
  return { faults, events: world.events, results: world.results };

  function fail(step: Step, seen: string): void {
    faults.push(`${step.file}:${step.line}: ${step.text}: ${seen}`);
  }

  function getByRole(role: 'owner' | 'other'): string {
    const found = [...world.vms].find(([name, vm]) => {
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
    const { time, platform, links, vms, engines } = world;
    const n = (word: string) => toNumber(word);
    await match(step.words)
      .with(['vms', P.string], ([, count]) => {
        vmCount = n(count);
      })
      .with(
        ['engine', P.string, 'slots', P.string, P.union('checks', 'ignores')],
        ([, id, , slots, kind]) => {
          checks.set(id, kind === 'checks');
          world.addEngine(id, { slots: n(slots), checksFencing: kind === 'checks' }, base);
        },
      )
      .with(['adapter', P.string, P.string, ...P.array(P.string)], ([, name, ...versions]) => {
        adapters.set(name, versions);
        world.bases.set(name, base);
      })
      .with(['base', P.string], ([, name]) => {
        base = name;
      })
      .with(['start'], start)
      .with(
        ['request', P.string, P.string, 'at', P.string, ...P.array(P.string)],
        ([, id, model, , vm, ...options]) => {
          const tokens = getOption(options, 'tokens') ?? 8;
          requestVms.set(id, vm);
          world.request(id, model, need(vm), tokens, getOption(options, 'deadline'));
        },
      )
      .with(['book', P.string, 'key', P.string, 'at', P.string], ([, id, , key, , vm]) => {
        bookings.set(id, key);
        requestVms.set(id, vm);
        world.book(id, key, need(vm));
      })
      .with(
        ['edit', P.string, P.string, 'weight', P.string, 'at', P.string],
        ([, id, adapter, , weight, , vm]) => {
          requestVms.set(id, vm);
          world.edit(id, adapter, n(weight), need(vm));
        },
      )
      .with(['let', P.string, 'be', P.union('owner', 'other')], ([, alias, , role]) => {
        aliases.set(alias, getByRole(role));
      })
      .with(['wait', P.string], ([, duration]) => time.advance(n(duration)))
      .with(['kill', P.string], ([, vm]) => world.kill(need(vm)))
      .with(['thaw', P.string], ([, vm]) => world.thaw(need(vm)))
      .with(['stop', P.string], ([, vm]) => world.stop(need(vm)))
      .with(['start', P.string], ([, vm]) => world.startVm(vm))
      .with(['freeze', P.string], ([, vm]) => {
        vms.get(need(vm))!.isFrozen = true;
      })
      .with(['freeze', P.string, 'at', 'unload'], ([, vm]) => {
        vms.get(need(vm))!.freezeAtUnload = true;
      })
      .with([P.union('cut', 'heal'), P.string, 'platform'], ([kind, vm]) =>
        platform.setCut(need(vm), kind === 'cut'),
      )
      .with([P.union('cut', 'heal', 'silence'), P.string, '->', P.string], ([kind, from, , to]) =>
        links[kind](world.getAddress(need(from)), world.getAddress(need(to))),
      )
      .with([P.union('cut', 'heal', 'silence'), P.string, P.string], ([kind, left, right]) => {
        links[kind](world.getAddress(need(left)), world.getAddress(need(right)));
        links[kind](world.getAddress(right), world.getAddress(left));
      })
      .with(['platform', P.union('down', 'up')], ([, kind]) => platform.setDown(kind === 'down'))
      .with(['platform', 'slow', P.string], ([, , duration]) => {
        platform.faults.slowMs = n(duration);
      })
      .with(['platform', 'lose', P.string], ([, , count]) => {
        platform.faults.loseAnswers = n(count);
      })
      .with(['platform', 'watch', P.union('silent', 'normal')], ([, , kind]) => {
        platform.faults.silentWatches = kind === 'silent';
      })
      .with(['lapse', P.string], ([, vm]) => platform.lapseLeases(need(vm)))
      .with(['engine', P.string, 'restart'], ([, id]) => engines.get(need(id))!.restart())
      .with(['engine', P.string, P.union('freeze', 'thaw')], ([, id, kind]) => {
        engines.get(need(id))!.faults.isFrozen = kind === 'freeze';
      })
      .with(['engine', P.string, 'leaving'], ([, id]) => {
        const address = world.getEngineAddress(need(id));
        engines.get(id)!.faults.isLeaving = true;
        world.changeList(id, { address, role: 'upstream', state: 'leaving' });
      })
      .with(['engine', P.string, P.union('reorder', 'foreign', 'repeat')], ([, id, kind]) => {
        engines.get(need(id))!.faults.nextStream = kind;
      })
      .with(['engine', P.string, 'fail', P.string], ([, id, , count]) => {
        engines.get(need(id))!.faults.failLoads = n(count);
      })
      .with(['engine', P.string, 'slow', P.string], ([, id, , duration]) => {
        engines.get(need(id))!.faults.loadMs = n(duration);
      })
      .with(['engine', P.string, 'mute', P.string], ([, id, , token]) => {
        engines.get(need(id))!.faults.muteAtToken = n(token);
      })
      .with(['service', 'leaving'], () => {
        const address = '127.0.0.1:9100';
        world.changeList('desk1', { address, role: 'upstream', state: 'leaving' });
      })
      .with(['service', P.union('down', 'up')], ([, kind]) => {
        world.services.faults.isDown = kind === 'down';
      })
      .with(['service', 'lose', P.string], ([, , count]) => {
        world.services.faults.loseAnswers = n(count);
      })
      .with(['list', 'lag', P.string], ([, , duration]) => world.setListLag(n(duration)))
      .with(['expect', ...P.array(P.string)], ([, ...rest]) => expect(step, rest))
      .otherwise(() => {
        const known = grammar.filter((form) => form.split(/[ |]/)[0] === step.words[0]);
        const forms = known.length > 0 ? known : grammar;
        throw new Error(`not a step; expected ${forms.join('  or  ')}`);
      });
  }

  function need(name: string): string {
    if (!world.vms.has(name) && !world.engines.has(name)) {
      throw new Error(`there is no ${name}`);
    }
    return name;
  }

  async function start(): Promise<void> {
    for (let index = 1; index <= vmCount; index += 1) {
      world.startVm(`vm${index}`);
    }
    await world.time.advance(READY_MS);
    await world.fillTable(adapters, checks);
    await world.time.advance(READY_MS);
  }

  async function expect(step: Step, words: string[]): Promise<void> {
    await match(words)
      .with(['key', P.string, 'ran', P.string], ([, key, , count]) => {
        const ran = world.services.getRuns(world.getBookingBody(key));
        if (ran !== toNumber(count)) {
          fail(step, `ran ${ran} times`);
        }
      })
      .with(['owner', P.string], ([, wanted]) => {
        const owners = [...world.vms]
          .filter(([, vm]) => !vm.isDead && !vm.isFrozen && vm.entry.owners.isOwner('base'))
          .map(([name]) => name);
        const isMet =
          wanted === 'one' ? owners.length === 1 : owners.join() === wanted.replace('none', '');
        if (!isMet) {
          fail(step, `owners are ${owners.join(' ') || 'none'}`);
        }
      })
      .with(['at', 'most', P.string, 'loads', 'a', 'second'], ([, , count]) => {
        const seen = world.getMostLoadsInOneSecond();
        if (seen > toNumber(count)) {
          fail(step, `${seen} loads`);
        }
      })
      .with(['resident', P.string, 'on', P.string], ([, model, , engine]) => {
        const names = world.engines.get(need(engine))!.getResident();
        if (!names.some((name) => name.startsWith(`${model}#`))) {
          fail(step, `resident are ${names.join(' ')}`);
        }
      })
      .with(
        ['row', P.string, 'weight', P.string, 'at', P.string],
        ([, adapter, , weight, , vm]) => {
          const row = world.vms.get(need(vm))!.entry.table.tryGetValue('adapters', adapter);
          if (row?.weight !== toNumber(weight)) {
            fail(step, `weight is ${row?.weight}`);
          }
        },
      )
      .with(['in', 'force', 'within', P.string], ([, , , duration]) =>
        expectInForce(step, toNumber(duration)),
      )
      .with(['starts', 'on', 'leaving', P.string, P.string], ([, , , engine, count]) => {
        const starts = world.engines.get(need(engine))!.getStartsWhileLeaving();
        const before = leavingStarts.get(engine);
        leavingStarts.set(engine, starts);
        if (starts - (before ?? 0) !== toNumber(count)) {
          fail(step, `${starts - (before ?? 0)} starts`);
        }
      })
      .with([P.string, 'stopped'], ([vm]) => {
        if (world.vms.get(need(vm))!.stopped !== 0) {
          fail(step, `cut ${world.vms.get(vm)!.stopped}`);
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
        const ranAt = rest.indexOf('ran');
        const code = ranAt === 0 ? undefined : rest[0];
        const ran = ranAt < 0 ? undefined : rest[ranAt + 1];
        const isMet =
          result?.code !== undefined &&
          (code === undefined || result.code === code) &&
          (ran === undefined || result.ran === ran);
        if (!isMet) {
          fail(step, `saw ${JSON.stringify(result)}`);
        }
      })
      .with([P.string, P.union('pending', 'settled', 'cut')], ([id, wanted]) => {
        const result = getResult(id);
        const state = result ? 'settled' : 'pending';
        if (wanted === 'cut') {
          cutOff.add(id);
        } else if (state !== wanted) {
          fail(step, `is ${state}`);
        }
      })
      .otherwise(() => {
        const forms = grammar.filter((form) => form.startsWith('expect'));
        throw new Error(`not an expectation; expected ${forms.join('  or  ')}`);
      });
  }

  function getResult(id: string) {
    if (!world.results.has(id)) {
      throw new Error(`there is no request ${id}`);
    }
    return world.results.get(id);
  }

  async function expectInForce(step: Step, withinMs: number): Promise<void> {
    const live = [...world.vms.values()].filter((vm) => !vm.isDead && !vm.isFrozen);
    const newest = Math.max(
      ...world.platform.getEntries('/baobablink/table/').map((entry) => entry.modRevision),
    );
    const isMet = () => live.every((vm) => vm.entry.table.getRevision() >= newest);
    for (let passed = 0; passed < withinMs && !isMet(); passed += POLL_MS) {
      await world.time.advance(POLL_MS);
    }
    if (!isMet()) {
      fail(step, `revisions ${live.map((vm) => vm.entry.table.getRevision()).join(' ')}`);
    }
  }

  /** What must always hold, whatever a scenario does. */
  function checkAlways(): void {
    const last = steps.at(-1)!;
    const end = { ...last, line: last.line, text: 'always' };
    world.engines.forEach((engine, id) =>
      engine.violations.forEach((violation) => fail(end, `${id} ${violation}`)),
    );
    world.results.forEach((result, id) => {
      if (!result) {
        const vm = world.vms.get(requestVms.get(id) ?? '');
        if (!cutOff.has(id) && !vm?.isDead && !vm?.isFrozen) {
          fail(end, `${id} got no final answer`);
        }
        return;
      }
      if (result.status === 200 && result.code === undefined && !result.isWhole) {
        fail(end, `${id} got a wrong answer: ${JSON.stringify(result)}`);
      }
      const hasRun =
        result.requestId !== undefined &&
        [...world.engines.values()].some((engine) => engine.hasRun(result.requestId!));
      if (result.ran === 'no' && hasRun) {
        fail(end, `${id} was refused with "not run" and ran`);
      }
    });
    bookings.forEach((key, id) => {
      const ran = world.services.getRuns(world.getBookingBody(key));
      if (ran > 1) {
        fail(end, `key ${key} ran ${ran} times`);
      }
      const result = world.results.get(id);
      const hasRun = result?.requestId !== undefined && world.services.hasRun(result.requestId);
      // Another request with the key may run after the refusal, but not this one, ever.
      if (result?.ran === 'no' && (hasRun || result.keyRuns! > 0)) {
        fail(end, `${id} was refused with "not run" and it or its key had run`);
      }
      if (ran === 0 && world.results.get(id)?.status === 200) {
        fail(end, `${id} was answered and never ran`);
      }
    });
  }
}

function getOption(words: string[], name: string): number | undefined {
  const index = words.indexOf(name);
  return index < 0 ? undefined : toNumber(words[index + 1] ?? '');
}

/** Reads `250`, `250ms`, `2s`. */
function toNumber(word: string): number {
  const found = /^(\d+(?:\.\d+)?)(ms|s)?$/.exec(word);
  if (!found) {
    throw new Error(`${word}: expected a number or a duration such as 250ms or 2s`);
  }
  return Number(found[1]) * (found[2] === 's' ? 1000 : 1);
}
