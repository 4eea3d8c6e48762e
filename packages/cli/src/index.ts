/** The command line. */
export * from './exit-code.ts';
export * from './operator-client.ts';
