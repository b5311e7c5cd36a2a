import { timingSafeEqual } from 'node:crypto';
import { Hono } from 'hono';

interface BlockHost {
  now(): number;
  crashGuard: {
    getBlocked(): { trait: string; version: number; changedAt: number }[];
    /** Returns false if the trait is not blocked. */
    lift(now: number, trait: string, cause: 'operator'): boolean;
  };
}

/**
 * Creates the operators' HTTP app that lists the traits for which requests are refused,
 * and lifts a block on all VMs. A lift needs the cluster key as bearer token.
 */
export default function createBlockApp(host: BlockHost, options: { clusterKey: string }) {
  const app = new Hono();
  app.get('/blocks', (context) => {
    const now = host.now();
    const blocks = host.crashGuard.getBlocked().map(({ trait, version, changedAt }) => ({
      trait,
      version,
      ageMs: Math.round(now - changedAt),
    }));
    return context.json({ blocks });
  });
  app.delete('/blocks/:trait', (context) => {
    if (!isEqual(context.req.header('authorization') ?? '', `Bearer ${options.clusterKey}`)) {
      return context.json({ error: { code: 'unauthorized' } }, 401);
    }
    return host.crashGuard.lift(host.now(), context.req.param('trait'), 'operator')
      ? context.body(null, 204)
      : context.json({ error: { code: 'notBlocked' } }, 404);
  });
  return app;
}

function isEqual(given: string, expected: string): boolean {
  const [left, right] = [Buffer.from(given), Buffer.from(expected)];
  return left.length === right.length && timingSafeEqual(left, right);
}
