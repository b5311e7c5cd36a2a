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
      // Helper functions are declared below their callers; hoisting and closures permit this.
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, variables: false, classes: true },
      ],
      // hono uses Request, Response and ReadableStream on Node.js 20.
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
    // These programs call process.exit, and read files or run programs synchronously.
    files: ['src/main.ts', 'src/cli/**', 'scripts/**', 'standins/**', 'bench/**', 'test/**'],
    rules: { 'n/no-process-exit': 'off', 'n/no-sync': 'off' },
  },
  {
    files: ['scripts/**', 'bench/**', 'test/**'],
    rules: { 'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }] },
  },
);
