/**
 * Plug-in with the ledger shards of a router: soft-state totals of service per workspace, one ledger
 * for each kind of endpoint, rebuilt from the sidecars' full reports after a restart.
 */
import { EndpointKind, ServiceLedger } from '@poplarpick/decisions';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { CallMethod } from '../messages.ts';
import type { Report, ReportAnswer } from '../messages.ts';
import { linkHubKey, statusBoardKey } from '../parts.ts';

class LedgerPlugin extends Plugin {
  override readonly name = 'ledger';
  override readonly roles = [Role.Router];
  override readonly requires = ['links'];

  override async start(kernel: Kernel): Promise<void> {
    const hub = kernel.part(linkHubKey);
    const ledgers = new Map(Object.values(EndpointKind).map((kind) => [kind, new ServiceLedger()]));
    hub.onLink((link) => {
      link.handleCall(CallMethod.Report, (report) => {
        const peer = hub.peerOf(link);
        const ledger = ledgers.get(report.kind);
        if (peer === undefined || ledger === undefined) return {};
        return takeReport(ledger, peer, report);
      });
    });
    kernel
      .part(statusBoardKey)
      .add('service', () =>
        [...ledgers].map(([kind, ledger]) => ({ kind, ...ledger.changesSince(0) })),
      );
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    return Promise.resolve();
  }
}

/** Merges a report and tells what has changed, if the reporter wants to know. */
function takeReport(ledger: ServiceLedger, peer: Peer, report: Report): ReportAnswer {
  const { sequence, entries, adjustments, known } = report;
  const { incarnation, endpoint = peer.host } = peer;
  ledger.merge({ endpoint, incarnation, sequence, entries });
  ledger.adjust(adjustments);
  if (known === undefined) return {};
  const changes = ledger.changesSince(known);
  const answer: ReportAnswer = { version: changes.version };
  if (changes.totals.workspaces.length > 0) answer.totals = changes.totals;
  if (changes.adjustments.length > 0) answer.adjustments = changes.adjustments;
  return answer;
}

registerPlugin(() => new LedgerPlugin());
