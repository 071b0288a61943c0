#pragma once

#include <LibControl/QueryId.h>
#include <LibCore/PeerMessage.h>
#include <LibProfile/ConfigurationCatalog.h>
#include <LibReplication/ReplicatedLog.h>
#include <LibTrace/AuditTrail.h>

#include <variant>

namespace jaybridge {

// Messages between daemons.

struct ChangeRequest {
  QueryId Query_;
  ConfigurationChange Change_;
};

/// The answer to a forwarded change, or the member that may accept it.
struct ChangeResponse {
  QueryId Query_;
  Result<ConfigurationVersion> Answer_;
  std::optional<MemberId> LeaderHint_;
};

struct CatalogRequest {
  QueryId Query_;
};

struct CatalogResponse {
  QueryId Query_;
  Result<ConfigurationSnapshot> Answer_;
  std::optional<MemberId> LeaderHint_;
};

using ConfigurationMessage = std::variant<ChangeRequest, ChangeResponse,
                                          CatalogRequest, CatalogResponse>;

// Events.

/// An operator asks for a change.
struct OperatorChangeRequest {
  QueryId Query_;
  ConfigurationChange Change_;
};

/// An operator asks for the catalog as of now.
struct OperatorCatalogRequest {
  QueryId Query_;
};

using ConfigurationEvent =
    std::variant<OperatorChangeRequest, OperatorCatalogRequest,
                 FromMember<ConfigurationMessage>, ReplicationMessage,
                 Persisted, PersistFailed>;

// Effects.

struct OperatorChangeResponse {
  QueryId Query_;
  Result<ConfigurationVersion> Answer_;
};

struct OperatorCatalogResponse {
  QueryId Query_;
  Result<ConfigurationSnapshot> Answer_;
};

/// A change was committed and accepted; Payload_ is its encoding.
struct ChangeCommitted {
  ConfigurationVersion Version_;
  std::string Payload_;
};

/// The committed catalog was replaced by a later one.
struct CatalogInstalled {
  ConfigurationVersion Version_;
  std::string Snapshot_;
};

/// What this control member knows about the leader of the replicated log.
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

/// Turns changes and catalogs into the log's opaque payloads and back.
template <typename Codec>
concept ConfigurationEncoding = requires(const ConfigurationChange &Change,
                                         const ConfigurationSnapshot &Snapshot,
                                         const std::string &Text) {
  requires std::same_as<decltype(Codec::encode(Change)), std::string>;
  requires std::same_as<decltype(Codec::encode(Snapshot)), std::string>;
  requires std::same_as<decltype(Codec::decodeChange(Text)),
                        Result<ConfigurationChange>>;
  requires std::same_as<decltype(Codec::decodeSnapshot(Text)),
                        Result<ConfigurationSnapshot>>;
};

} // namespace jaybridge
