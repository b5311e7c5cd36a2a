import { timingSafeEqual } from 'node:crypto';
import { Hono } from 'hono';

interface PromptBlockHost {
  now(): number;
  promptGuard: {
    getBlocked(): { part: string; version: number; changedAt: number }[];
    /** Returns false if the part is not blocked. */
    lift(now: number, part: string, cause: 'operator'): boolean;
  };
}

/**
 * Creates the operators' HTTP app that lists the parts of prompts for which requests are refused,
 * and lifts a block on all VMs. A lift needs the cluster key as bearer token.
 */
export default function createPromptBlockApp(
  host: PromptBlockHost,
  options: { clusterKey: string },
) {
  const app = new Hono();
  app.get('/prompt-blocks', (context) => {
    const now = host.now();
    const blocks = host.promptGuard.getBlocked().map(({ part, version, changedAt }) => ({
      part,
      version,
      ageMs: Math.round(now - changedAt),
    }));
    return context.json({ blocks });
  });
  app.delete('/prompt-blocks/:part', (context) => {
    if (!isEqual(context.req.header('authorization') ?? '', `Bearer ${options.clusterKey}`)) {
      return context.json({ error: { code: 'unauthorized' } }, 401);
    }
    return host.promptGuard.lift(host.now(), context.req.param('part'), 'operator')
      ? context.body(null, 204)
      : context.json({ error: { code: 'notBlocked' } }, 404);
  });
  return app;
}

function isEqual(given: string, expected: string): boolean {
  const [left, right] = [Buffer.from(given), Buffer.from(expected)];
  return left.length === right.length && timingSafeEqual(left, right);
}
