#pragma once

#include <LibControl/Queries.h>
#include <LibCore/PeerMessage.h>
#include <LibProfile/ConfigurationCatalog.h>
#include <LibReplication/ReplicatedLog.h>
#include <LibTrace/AuditTrail.h>

#include <variant>

namespace jaybridge {

// Messages between daemons.

struct ChangeForwarded {
  QueryId Query_;
  ConfigurationChange Change_;
};

/// The answer to a forwarded change, or the member that may accept it.
struct ChangeDecided {
  QueryId Query_;
  Result<ConfigurationVersion> Answer_;
  std::optional<MemberId> TryInstead_;
};

struct CatalogForwarded {
  QueryId Query_;
};

struct CatalogProvided {
  QueryId Query_;
  Result<ConfigurationSnapshot> Answer_;
  std::optional<MemberId> TryInstead_;
};

using ConfigurationMessage = std::variant<ChangeForwarded, ChangeDecided,
                                          CatalogForwarded, CatalogProvided>;

// Events.

/// An operator asks for a change.
struct ChangeAsked {
  QueryId Query_;
  ConfigurationChange Change_;
};

/// An operator asks for the catalog as of now.
struct CatalogAsked {
  QueryId Query_;
};

using ConfigurationEvent =
    std::variant<ChangeAsked, CatalogAsked, FromMember<ConfigurationMessage>,
                 ReplicationMessage, Persisted, PersistFailed>;

// Effects.

struct ChangeAnswered {
  QueryId Query_;
  Result<ConfigurationVersion> Answer_;
};

struct CatalogAnswered {
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
                 PersistLog, ChangeAnswered, CatalogAnswered, ChangeCommitted,
                 CatalogInstalled, LeadershipChanged, AuditEntry,
                 MemberStopped>;

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
