/**
 * Plug-in with the ledger shards of a router: soft-state totals of service per workspace, one ledger
 * for each kind of endpoint, rebuilt from the sidecars' cumulative rows after a restart.
 */
import { EndpointKind, ServiceLedger } from '@poplarpick/decisions';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import { CallMethod } from '../messages.ts';
import { linkHubKey, statusBoardKey } from '../parts.ts';

class LedgerPlugin extends Plugin {
  override readonly name = 'ledger';
  override readonly roles = [Role.Router];
  override readonly requires = ['links'];

  override async start(kernel: Kernel): Promise<void> {
    const ledgers = new Map(Object.values(EndpointKind).map((kind) => [kind, new ServiceLedger()]));
    kernel.part(linkHubKey).onLink((link) => {
      link.handleCall(CallMethod.Report, ({ kind, row }) => {
        const ledger = ledgers.get(kind);
        ledger?.merge(row);
        return { totals: ledger?.entries() ?? [] };
      });
    });
    kernel
      .part(statusBoardKey)
      .add('service', () =>
        [...ledgers].map(([kind, ledger]) => ({ kind, totals: ledger.entries() })),
      );
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    return Promise.resolve();
  }
}

registerPlugin(() => new LedgerPlugin());
