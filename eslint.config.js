import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['node_modules', 'dist', 'target', 'journal', 'docs', '.cache'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    rules: {
      // Helpers stand below their callers; function declarations and closures allow it.
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, variables: false, classes: true },
      ],
      // Request, Response and ReadableStream are what hono works with on Node.js 20.
      'n/no-unsupported-features/node-builtins': [
        'error',
        {
          ignores: [
            'Request',
            'Response',
            'Headers',
            'ReadableStream',
            'ReadableStreamDefaultController',
            'fetch',
            'fs.cpSync',
          ],
        },
      ],
    },
  },
  {
    // The ends of processes, and files that are read or programs run one after the other.
    files: ['src/main.ts', 'src/cli/**', 'scripts/**', 'standins/**', 'bench/**', 'test/**'],
    rules: { 'n/no-process-exit': 'off', 'n/no-sync': 'off' },
  },
  {
    files: ['scripts/**', 'bench/**', 'test/**'],
    rules: { 'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }] },
  },
);
