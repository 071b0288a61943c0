#pragma once

#include <LibControl/QueryId.h>
#include <LibCore/PeerMessage.h>
#include <LibProfile/ConfigurationCatalog.h>
#include <LibReplication/ReplicatedLog.h>
#include <LibTrace/AuditTrail.h>

#include <variant>

namespace jaybridge {

// Messages between daemons.

/// Asks a control member to commit a change.
struct ChangeRequest {
  QueryId Query_;
  ConfigurationChange Change_;
};

/// Version that a change produced, or the error. If LeaderHint_ is set, the
/// change was not appended here and has to be sent to that member.
struct ChangeResponse {
  QueryId Query_;
  Result<ConfigurationVersion> Answer_;
  std::optional<MemberId> LeaderHint_;
};

/// Asks a control member for the committed catalog.
struct CatalogRequest {
  QueryId Query_;
};

/// Committed catalog, or the error. If LeaderHint_ is set, the request has to
/// be sent to that member.
struct CatalogResponse {
  QueryId Query_;
  Result<ConfigurationSnapshot> Answer_;
  std::optional<MemberId> LeaderHint_;
};

using ConfigurationMessage = std::variant<ChangeRequest, ChangeResponse,
                                          CatalogRequest, CatalogResponse>;

// Events of ConfigurationService.

/// An operator requests a change.
struct OperatorChangeRequest {
  QueryId Query_;
  ConfigurationChange Change_;
};

/// An operator requests the current catalog (linearizable read).
struct OperatorCatalogRequest {
  QueryId Query_;
};

using ConfigurationEvent =
    std::variant<OperatorChangeRequest, OperatorCatalogRequest,
                 FromMember<ConfigurationMessage>, ReplicationMessage,
                 Persisted, PersistFailed>;

// Effects of ConfigurationService.

struct OperatorChangeResponse {
  QueryId Query_;
  Result<ConfigurationVersion> Answer_;
};

struct OperatorCatalogResponse {
  QueryId Query_;
  Result<ConfigurationSnapshot> Answer_;
};

/// A change was committed and accepted by the catalog. Payload_ is the encoded
/// change.
struct ChangeCommitted {
  ConfigurationVersion Version_;
  std::string Payload_;
};

/// The committed catalog was replaced by that of a snapshot. Snapshot_ is the
/// encoded snapshot.
struct CatalogInstalled {
  ConfigurationVersion Version_;
  std::string Snapshot_;
};

/// The role of this control member in the replicated log, the leader that it
/// knows, or the term has changed.
struct LeadershipChanged {
  ReplicationRole Role_ = ReplicationRole::Follower;
  std::optional<MemberId> Leader_;
  Term Term_;

  friend bool operator==(const LeadershipChanged &,
                         const LeadershipChanged &) = default;
};

using ConfigurationEffect =
    std::variant<SendToMember<ConfigurationMessage>, SendReplication,
                 PersistLog, OperatorChangeResponse, OperatorCatalogResponse,
                 ChangeCommitted, CatalogInstalled, LeadershipChanged,
                 AuditEntry, MemberStopped>;

/// Encodes changes and catalogs as the opaque payloads of the replicated log.
/// Decoding returns the error of a damaged payload.
template <typename Codec>
concept ConfigurationEncoding = requires(const ConfigurationChange &Change,
                                         const ConfigurationSnapshot &Snapshot,
                                         const std::string &Encoded) {
  requires std::same_as<decltype(Codec::encode(Change)), std::string>;
  requires std::same_as<decltype(Codec::encode(Snapshot)), std::string>;
  requires std::same_as<decltype(Codec::decodeChange(Encoded)),
                        Result<ConfigurationChange>>;
  requires std::same_as<decltype(Codec::decodeSnapshot(Encoded)),
                        Result<ConfigurationSnapshot>>;
};

} // namespace jaybridge
