#pragma once

#include <LibExchange/Request.h>
#include <LibProfile/RoutingTable.h>

namespace jaybridge {

/// Decides whether a request has a key that its route accepts, and which team
/// it belongs to. Valid as long as the table of the route.
class CallerAuthentication {
public:
  CallerAuthentication(const TeamDirectory &Teams, const Route &Matched,
                       const Request &Received);

  /// True if the route needs a key and the request has no known one.
  bool isRefused() const { return IsRefused_; }
  /// Null if there are no teams or the key is unknown.
  const Team *team() const { return Team_; }
  /// Removes the key from a copy of the request and sets its team. If the
  /// configuration has no teams, the headers are as received.
  void identify(Request &Routed) const;

private:
  bool HasTeams_;
  const Team *Team_;
  bool IsRefused_;
};

} // namespace jaybridge
