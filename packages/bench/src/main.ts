/** Entry point of the bench; runs the command that is named first on the command line. */
import { listCommands } from './commands.ts';

async function main(): Promise<void> {
  const [name, ...args] = process.argv.slice(2);
  const commands = listCommands();
  const command = commands.find((entry) => entry.name === name);
  if (command === undefined) {
    process.stderr.write(`usage: npm run bench -- COMMAND [options]\n\n`);
    for (const entry of commands)
      process.stderr.write(`  ${entry.name.padEnd(14)} ${entry.summary}\n`);
    process.exitCode = 2;
    return;
  }
  await command.run(args);
}

await main();
