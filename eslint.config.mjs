// Airbnb's rules, with the house style before them: namespace imports, string unions, exhaustive switches.
import * as airbnb from 'eslint-config-airbnb-extended';
import tseslint from 'typescript-eslint';

const houseSyntax = [
  {
    selector: 'ImportDeclaration[source.value=/^(?!tsx)/] > ImportSpecifier',
    message: 'Use a namespace import: import * as name from …',
  },
  { selector: 'TSEnumDeclaration', message: 'Use a string union.' },
  { selector: 'ClassDeclaration[superClass]', message: 'Use a discriminated union.' },
  {
    selector: 'Program > VariableDeclaration[kind="let"]',
    message: 'No module-level mutable state.',
  },
  { selector: 'ForInStatement', message: 'Use Object.entries.' },
  { selector: 'LabeledStatement', message: 'Write a function.' },
  { selector: 'WithStatement', message: 'Not in strict mode.' },
];

const formattingOff = Object.fromEntries(
  Object.keys(airbnb.plugins.stylistic.plugins['@stylistic'].rules).map((name) => [
    `@stylistic/${name}`,
    'off',
  ]),
);

export default [
  { ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**', 'eslint.config.mjs'] },
  airbnb.plugins.stylistic,
  airbnb.plugins.importX,
  airbnb.plugins.node,
  airbnb.plugins.typescriptEslint,
  ...airbnb.configs.base.recommended,
  ...airbnb.configs.node.recommended,
  ...airbnb.configs.base.typescript,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parser: tseslint.parser,
      parserOptions: {
        projectService: false,
        project: './tsconfig.check.json',
        tsconfigRootDir: import.meta.dirname,
      },
    },
    settings: {
      'import-x/resolver': { node: { extensions: ['.ts'] } },
    },
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { allowDefaultCaseForExhaustiveSwitch: true, considerDefaultExhaustiveForUnions: false },
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/consistent-type-definitions': ['error', 'type'],
      'max-lines': ['error', { max: 300, skipBlankLines: false, skipComments: false }],
      'max-lines-per-function': 'off',
      'no-restricted-syntax': ['error', ...houseSyntax],
      // House style before Airbnb: namespaces instead of default exports, numbered codes instead of console.
      'import-x/prefer-default-export': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      // Modules read from the top down: callers stand before what they call.
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, variables: false, typedefs: false },
      ],
      // `void` marks a promise that is left to itself on purpose.
      'no-void': ['error', { allowAsStatement: true }],
      // Loops that wait for each step in turn are meant so.
      'no-await-in-loop': 'off',
      'n/no-unsupported-features/node-builtins': ['error', { version: '>=20.11.0' }],
      'n/no-unsupported-features/es-syntax': ['error', { version: '>=20.11.0' }],
      // Formatting is prettier's.
      ...formattingOff,
    },
  },
  {
    // Development scripts have nothing else to do while they wait.
    files: ['scripts/**', 'platform/test/names.test.ts'],
    rules: { 'n/no-sync': 'off' },
  },
  {
    // Binaries set the exit code of their process and are named in `bin`.
    files: ['**/src/main.ts', 'packages/core/src/binary/run.ts'],
    rules: { 'n/no-process-exit': 'off', 'n/hashbang': 'off' },
  },
];
