// Bundles the command of the day generator into target/ and runs it.
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
