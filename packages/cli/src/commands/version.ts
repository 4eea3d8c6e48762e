/** `poplarpick version`. */
import { Command } from '@oclif/core';
import { PRODUCT_NAME, VERSION } from '../version.ts';

export class Version extends Command {
  static override description = 'Show the version.';
  static override enableJsonFlag = true;

  override async run(): Promise<{ name: string; version: string; node: string }> {
    await this.parse(Version);
    this.log(`${PRODUCT_NAME} ${VERSION}`);
    return { name: PRODUCT_NAME, version: VERSION, node: process.version };
  }
}
