#pragma once

#include <LibProfile/ServicePolicy.h>

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace jaybridge {

using RouteName = Identifier<struct RouteNameTag>;
using HostName = Identifier<struct HostNameTag>;
/// Share of a route's requests, relative to the other parts of the route.
using SplitWeight = Quantity<struct SplitWeightTag, std::uint32_t>;
/// Instances that one request may be sent to.
using AttemptCount = Quantity<struct AttemptCountTag, std::uint32_t>;
/// Urgency of a route; 0 is the most urgent.
using RoutePriority = Quantity<struct UrgencyRankTag, std::uint32_t>;

/// One service that takes a part of a route's requests.
struct WeightedService {
  ServiceName Service_;
  SplitWeight Weight_ = SplitWeight(1);
};

/// Values of a route before they were checked.
struct RouteDraft {
  RouteName Name_;
  HostName Host_;
  /// Begins with a slash.
  std::string Prefix_;
  std::vector<WeightedService> WeightedServices_;
  /// Unless a route is known to be repeatable, its requests run once at most.
  Repeatability Repeatability_ = Repeatability::AtMostOnce;
  /// The longest time that a caller is kept waiting.
  Duration Patience_ = std::chrono::seconds(5);
  /// The time within which an answer is worth most.
  Duration TargetLatency_ = std::chrono::seconds(1);
  AttemptCount MaxAttempts_ = AttemptCount(1);
  RoutePriority Priority_;
};

/// What a configuration says about a service.
struct ServiceDefinition {
  ServiceName Name_;
  std::string HealthPath_ = "/health";
};

/// Values of a routing table before they were checked.
struct RoutingDraft {
  ConfigurationVersion Version_;
  std::vector<RouteDraft> Routes_;
  std::vector<ServiceDefinition> Services_;
};

/// A checked route with the profile that its requests run under.
struct Route {
  RouteDraft Values_;
  Profile Profile_;
};

/// Which service handles a request, by host and the longest path prefix, and
/// how the request may be treated. Exists only with permitted values.
class RoutingTable {
public:
  /// Errors: Invalid, with the name of the route or service at fault.
  static Result<RoutingTable> create(RoutingDraft Draft);

  ConfigurationVersion version() const { return Version_; }
  /// Null when no route of the host has a prefix of the path.
  const Route *find(const HostName &Host, std::string_view Path) const;
  const std::map<ServiceName, ServiceDefinition> &services() const {
    return Services_;
  }
  std::size_t routeCount() const { return RouteCount_; }
  /// The policy of each service: what holds for all of its routes.
  std::vector<ServicePolicy> policies() const;

private:
  RoutingTable() = default;
  Status add(RouteDraft Draft);

  ConfigurationVersion Version_;
  std::map<ServiceName, ServiceDefinition> Services_;
  /// Routes of a host by prefix, the longest first.
  std::map<HostName, std::vector<Route>> Hosts_;
  std::size_t RouteCount_ = 0;
};

/// Host of a `Host` header or authority, without port and in lower case.
HostName hostNameOf(std::string_view Authority);

} // namespace jaybridge
