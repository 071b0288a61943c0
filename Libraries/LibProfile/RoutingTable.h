#pragma once

#include <LibProfile/RoutePriority.h>
#include <LibProfile/ServicePolicy.h>
#include <LibProfile/TeamDirectory.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jaybridge {

using HostName = Identifier<struct HostNameTag>;
/// Share of a route's requests, relative to the other services of the route.
using SplitWeight = Quantity<struct SplitWeightTag, std::uint32_t>;
/// Number of instances that one request may be sent to, including the first.
using AttemptCount = Quantity<struct AttemptCountTag, std::uint32_t>;

/// A service that receives a share of a route's requests.
struct WeightedService {
  ServiceName Service_;
  SplitWeight Weight_ = SplitWeight(1);
};

/// Unvalidated values of a route.
struct RouteDraft {
  RouteName Name_;
  HostName Host_;
  /// Path prefix; begins with a slash.
  std::string Prefix_;
  std::vector<WeightedService> WeightedServices_;
  /// Requests are executed at most once, unless the route is declared
  /// repeatable.
  Repeatability Repeatability_ = Repeatability::AtMostOnce;
  /// Maximum time until a request is answered.
  Duration Patience_ = std::chrono::seconds(5);
  /// Latency that responses should stay within.
  Duration TargetLatency_ = std::chrono::seconds(1);
  AttemptCount MaxAttempts_ = AttemptCount(1);
  RoutePriority Priority_;
  /// Requests need no key, also if the table has teams.
  bool IsPublic_ = false;
};

/// Definition of a service in the configuration.
struct ServiceDefinition {
  ServiceName Name_;
  std::string HealthPath_ = "/health";
};

/// A validated route with the profile that applies to its requests.
struct Route {
  RouteDraft Values_;
  Profile Profile_;

  /// Errors: `Invalid`, with the name of the route.
  static Result<std::shared_ptr<const Route>> create(RouteDraft Draft);
};

/// Unvalidated values of a routing table.
struct RoutingDraft {
  ConfigurationVersion Version_;
  std::vector<RouteDraft> Routes_;
  /// Routes that were validated for this or an earlier table.
  std::vector<std::shared_ptr<const Route>> ValidRoutes_;
  std::vector<ServiceDefinition> Services_;
  std::vector<TeamDraft> Teams_;
};

/// Selects the route of a request by host and longest path prefix. The route
/// determines the services and the profile that apply. A constructed table has
/// passed validation. Tables share the routes that they have in common.
class RoutingTable {
public:
  /// Errors: `Invalid`, with the name of the invalid route or the field.
  static Result<RoutingTable> create(RoutingDraft Draft);

  ConfigurationVersion version() const { return Version_; }
  /// Null when no route of the host has a prefix that matches the path.
  const Route *find(const HostName &Host, std::string_view Path) const;
  const std::map<ServiceName, ServiceDefinition> &services() const {
    return Services_;
  }
  /// Empty if the configuration has no teams: requests then need no key.
  const TeamDirectory &teams() const { return Teams_; }
  std::size_t routeCount() const { return RouteCount_; }
  /// One policy per service, with the values that apply to all of its routes.
  std::vector<ServicePolicy> policies() const;

private:
  /// The routes of a host by prefix. A lookup costs one step for each length of
  /// a prefix, however many routes there are.
  struct HostRoutes {
    /// Keys are the prefixes in the routes themselves.
    std::unordered_map<std::string_view, std::shared_ptr<const Route>> Routes_;
    std::set<std::size_t, std::greater<>> PrefixLengths_;
  };

  RoutingTable() = default;
  Status add(std::shared_ptr<const Route> Added);

  ConfigurationVersion Version_;
  std::map<ServiceName, ServiceDefinition> Services_;
  std::map<HostName, HostRoutes> Hosts_;
  std::size_t RouteCount_ = 0;
  TeamDirectory Teams_;
};

/// Weight of requests with this priority.
ClassWeight classWeightOf(RoutePriority Priority);

/// Host name of a `Host` header or authority, in lower case without the port.
HostName hostNameOf(std::string_view Authority);

} // namespace jaybridge
