import { execFileSync } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { expect } from 'chai';

const RECORDER = ['--require', path.resolve('scripts/bundle/recordCodeCache.cjs')];
/** Contains what would end the comment that holds the bundle. */
const CODE = '/* a comment */ console.log([1, 2].map((n) => n * 2).join(), "*/*", __filename);';

describe('the bundle and its compile cache', () => {
  let folder: string;
  let bundle: string;

  beforeEach(() => {
    folder = mkdtempSync(path.join(tmpdir(), 'baobablink-bundle-'));
    bundle = path.join(folder, 'bundle.cjs');
    writeBundle(CODE);
  });

  afterEach(() => rmSync(folder, { recursive: true }));

  function writeBundle(code: string): void {
    const codeFile = path.join(folder, 'code.cjs');
    writeFileSync(codeFile, code);
    execFileSync(process.execPath, ['scripts/bundle/writeBundle.mjs', codeFile, bundle]);
  }

  function run(nodeArguments: string[] = []): string {
    return execFileSync(process.execPath, [...nodeArguments, bundle], { encoding: 'utf8' });
  }

  function getCacheFile(): string {
    const name = readdirSync(folder).find((file) => file.endsWith('.cache'));
    return path.join(folder, name ?? 'no cache');
  }

  it('runs without a cache and writes none', () => {
    expect(run()).to.equal(`2,4 */* ${bundle}\n`);
    expect(readdirSync(folder)).to.have.members(['bundle.cjs', 'code.cjs']);
  });

  it('runs with a cache that was recorded for it', () => {
    run(RECORDER);
    expect(getCacheFile()).to.match(/bundle\.cjs\.v[\d.]+-\w+\.cache$/);
    expect(run()).to.equal(`2,4 */* ${bundle}\n`);
  });

  // Guards against running the code of an earlier build, of which V8 compares the length only.
  it('ignores the cache of another build of the same length', () => {
    run(RECORDER);
    const former = readFileSync(getCacheFile());
    writeBundle(CODE.replace('n * 2', 'n * 3'));
    expect(run()).to.equal(`3,6 */* ${bundle}\n`);
    expect(readFileSync(getCacheFile()).equals(former)).to.equal(true);
  });

  it('ignores a cache that V8 rejects, is cut off, or was created under other flags', () => {
    run(RECORDER);
    const cache = readFileSync(getCacheFile());
    expect(run(['--max-old-space-size=100'])).to.equal(`2,4 */* ${bundle}\n`);
    writeFileSync(getCacheFile(), cache.subarray(0, cache.length / 2));
    expect(run()).to.equal(`2,4 */* ${bundle}\n`);
    writeFileSync(getCacheFile(), Buffer.concat([cache.subarray(0, 64), Buffer.alloc(64, 7)]));
    expect(run()).to.equal(`2,4 */* ${bundle}\n`);
  });

  it('fails an assertion of a library without reading the source', () => {
    writeBundle(`
      const assert = require(${JSON.stringify(path.resolve('scripts/bundle/assert.cjs'))});
      const failures = [() => assert(1 > 2), () => assert.ok(0), () => assert.equal(1, 2)];
      failures.forEach((fail) => { try { fail(); } catch (error) { console.log(error.code); } });
      try { assert(1 > 2); } catch ({ message }) { console.log(message); }
    `);
    expect(run().split('\n')).to.deep.equal([
      ...Array.from({ length: 3 }, () => 'ERR_ASSERTION'),
      'an assertion of a library failed',
      '',
    ]);
  });
});
