#pragma once

#include <LibRegistry/StoredDocument.h>
#include <LibReplication/ReplicationMessages.h>

#include <optional>

namespace jaybridge {

/// The newest document that a leader has added to the log and that is not
/// decided yet. The log applies commands in order, so that it is the base of
/// the next change.
class PendingDocument {
public:
  /// Returns the document that the next change is based on, given the one in
  /// force.
  const std::optional<StoredDocument> &
  base(const std::optional<StoredDocument> &InForce) const {
    return Document_ ? Document_ : InForce;
  }
  /// Returns the proposal that brings this version or a later one into force.
  std::optional<ProposalId> proposalOf(ConfigurationVersion Version) const {
    if (!Document_ || Document_->Version_ < Version)
      return std::nullopt;
    return Proposal_;
  }
  void add(StoredDocument Added, ProposalId Proposal) {
    Document_ = std::move(Added);
    Proposal_ = Proposal;
  }
  /// The proposal is committed, so that its document is in force if it is newer
  /// than the previous one, or has failed.
  void settle(ProposalId Decided) {
    if (Decided == Proposal_)
      Document_.reset();
  }

private:
  std::optional<StoredDocument> Document_;
  ProposalId Proposal_;
};

} // namespace jaybridge
