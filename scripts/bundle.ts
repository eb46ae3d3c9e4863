/** Bundles the executable of the platform adapter into one file under `target/`. */
import * as esbuild from 'esbuild';

await esbuild.build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/medlarweir-gateway.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['source'],
  minifySyntax: true,
  // Optional native modules, which are not installed on these machines.
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
