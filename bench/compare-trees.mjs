// Bundles the command that compares two checkouts into target/ and runs it.
import { build } from 'esbuild';

await build({
  entryPoints: ['bench/compare/command.ts'],
  outfile: 'target/compare-trees.mjs',
  bundle: true,
  packages: 'external',
  format: 'esm',
  platform: 'node',
  target: 'node20',
  logLevel: 'warning',
});
const { runCommand } = await import('../target/compare-trees.mjs');
process.exitCode = await runCommand(process.argv.slice(2), console.log);
