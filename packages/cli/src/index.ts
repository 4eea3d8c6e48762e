/** Exit codes and operators' client of the command line, for use by other packages. */
export * from './exit-code.ts';
export * from './operator-client.ts';
