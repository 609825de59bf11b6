// Starts the generator of days: bundles it to target/ and runs its command.
import { build } from 'esbuild';

await build({
  entryPoints: ['bench/draw/command.ts'],
  outfile: 'target/draw-days.mjs',
  bundle: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  logLevel: 'warning',
});
const { runCommand } = await import('../target/draw-days.mjs');
process.exitCode = runCommand(process.argv.slice(2), console.log);
