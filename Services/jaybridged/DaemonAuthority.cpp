#include <Daemon.h>

namespace jaybridge {

void Daemon::deliver(AuthorityEffect Effect) {
  std::visit(Overloaded{
                 [this](SendToMember<EvidenceReport> &Send) {
                   send(Send.To_, Send.Message_);
                 },
                 [this](SendToMember<EjectionList> &Send) {
                   send(Send.To_, Send.Message_);
                 },
                 [this](SendToMember<LeaseMessage> &Send) {
                   send(Send.To_, Send.Message_);
                 },
                 [this](EjectionListChanged &Change) {
                   RequestPath_->post(EjectionsChanged{
                       Change.Service_, Change.Ejected_, Change.ValidUntil_});
                   post(*Fleet_, std::move(Change));
                 },
                 [this](QuarantineListChanged &Change) {
                   RequestPath_->post(
                       FingerprintsQuarantined{Change.Fingerprints_});
                 },
                 [this](ProbeRequest &Probe) { Probes_->probe(Probe); },
                 [this](AuditEntry &Entry) { recordAudit(std::move(Entry)); },
             },
             Effect);
}

// FIXME: Send the entries to the control members and store them there. At
// present each daemon keeps only its own entries, in memory.
void Daemon::recordAudit(AuditEntry Entry) {
  Log_.write(LogLevel::Info, auditKindName(Entry.Kind_),
             {{"actor", Entry.Actor_},
              {"service", Entry.Service_.text()},
              {"outcome", Entry.Outcome_},
              {"detail", Entry.Detail_}});
  post(History_, std::move(Entry));
}

} // namespace jaybridge
