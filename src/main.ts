import servePlatform from '../platform/serve';
import run from './cli/run';

run(process.argv.slice(2), process.env, servePlatform).then(
  (code) => process.exit(code),
  (error: Error) => {
    process.stderr.write(`baobablink: ${error.stack}\n`);
    process.exit(1);
  },
);
