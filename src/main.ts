import run from './cli/run';

run(process.argv.slice(2), process.env).then(
  (code) => process.exit(code),
  (error: Error) => {
    process.stderr.write(`baobablink: ${error.stack}\n`);
    process.exit(1);
  },
);
