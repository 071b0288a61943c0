#include <LibProfile/RoutingTable.h>

#include <algorithm>
#include <utility>

namespace jaybridge {

namespace {

/// Retry budget of the whole fleet as a share of first attempts. Platforms of
/// callers commonly permit 20 percent; the difference is left for requests that
/// move between gateways.
constexpr Percentage RetryBudgetPercentage(14);
/// Minimum share of the serving instances that a gateway keeps in use
/// regardless of the ejections it receives. The floor of healthy instances is
/// enforced where the evidence is aggregated.
constexpr Percentage MinInUsePercentage(30);
constexpr std::uint32_t MaxPriority = 100;

Error invalid(const std::string &Field, std::string Message) {
  return Error{ErrorCode::Invalid, std::move(Message), Field};
}

ProfileDraft profileDraftOf(const RouteDraft &Values) {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("route");
  Draft.Repeatability_ = Values.Repeatability_;
  Draft.Patience_ =
      std::clamp(Values.Patience_, Profile::MinPatience, Profile::MaxPatience);
  Draft.Floor_ = MinInUsePercentage;
  Draft.RetryBudget_ = RetryBudgetPercentage;
  Draft.IsHedgingAllowed_ = Values.Repeatability_ == Repeatability::Repeatable;
  Draft.Weight_ = classWeightOf(Values.Priority_);
  return Draft;
}

} // namespace

Result<RoutingTable> RoutingTable::create(RoutingDraft Draft) {
  RoutingTable Created;
  Created.Version_ = Draft.Version_;
  for (ServiceDefinition &Service : Draft.Services_) {
    if (Service.Name_.isEmpty())
      return invalid("services", "a service has no name");
    ServiceName Name = Service.Name_;
    Created.Services_.insert_or_assign(std::move(Name), std::move(Service));
  }
  JAYBRIDGE_TRY(Created.Teams_, TeamDirectory::create(std::move(Draft.Teams_)));
  for (RouteDraft &RouteValues : Draft.Routes_) {
    JAYBRIDGE_TRY(auto Valid, Route::create(std::move(RouteValues)));
    Draft.ValidRoutes_.push_back(std::move(Valid));
  }
  for (auto &Valid : Draft.ValidRoutes_)
    JAYBRIDGE_TRY_STATUS(Created.add(std::move(Valid)));
  return Created;
}

Result<std::shared_ptr<const Route>> Route::create(RouteDraft Draft) {
  const std::string &Name = Draft.Name_.text();
  if (Draft.Prefix_.empty() || Draft.Prefix_.front() != '/')
    return invalid(Name, "the path prefix must begin with a slash");
  if (Draft.MaxAttempts_ == AttemptCount(0))
    return invalid(Name, "at least one attempt must be permitted");
  if (Draft.Patience_ <= Duration::zero())
    return invalid(Name, "the patience must be above 0");
  if (Draft.WeightedServices_.empty())
    return invalid(Name, "a route must name a service");
  SplitWeight TotalWeight;
  for (const WeightedService &Weighted : Draft.WeightedServices_)
    TotalWeight += Weighted.Weight_;
  if (TotalWeight == SplitWeight(0))
    return invalid(Name, "the weights of a route must not all be 0");
  JAYBRIDGE_TRY(Profile RouteProfile, Profile::create(profileDraftOf(Draft)));
  return std::make_shared<const Route>(
      Route{std::move(Draft), std::move(RouteProfile)});
}

Status RoutingTable::add(std::shared_ptr<const Route> Added) {
  const RouteDraft &Values = Added->Values_;
  for (const WeightedService &Weighted : Values.WeightedServices_)
    if (!Services_.contains(Weighted.Service_))
      return invalid(Values.Name_.text(), "the service '" +
                                              Weighted.Service_.text() +
                                              "' is not defined");
  HostRoutes &Host = Hosts_[Values.Host_];
  auto [Existing, IsNew] = Host.Routes_.try_emplace(Values.Prefix_, Added);
  if (!IsNew)
    return invalid(Values.Name_.text(),
                   "the route '" + Existing->second->Values_.Name_.text() +
                       "' has the same host and prefix");
  Host.PrefixLengths_.insert(Values.Prefix_.size());
  ++RouteCount_;
  return success();
}

const Route *RoutingTable::find(const HostName &Host,
                                std::string_view Path) const {
  auto Found = Hosts_.find(Host);
  if (Found == Hosts_.end())
    return nullptr;
  const auto &[Routes, PrefixLengths] = Found->second;
  for (std::size_t Length : PrefixLengths)
    if (Length <= Path.size())
      if (auto Match = Routes.find(Path.substr(0, Length));
          Match != Routes.end())
        return Match->second.get();
  return nullptr;
}

std::vector<ServicePolicy> RoutingTable::policies() const {
  std::vector<ServicePolicy> Policies;
  for (const auto &[Name, Definition] : Services_) {
    auto Defaults = Profile::create(profileDraftOf(RouteDraft{}));
    JAYBRIDGE_VERIFY(Defaults.hasValue());
    Policies.push_back(ServicePolicy{Name, Defaults.takeValue(), Version_});
  }
  return Policies;
}

ClassWeight classWeightOf(RoutePriority Priority) {
  return ClassWeight(MaxPriority + 1 - std::min(MaxPriority, Priority.value()));
}

HostName hostNameOf(std::string_view Authority) {
  std::string Name(Authority.substr(0, Authority.find(':')));
  for (char &Character : Name)
    if (Character >= 'A' && Character <= 'Z')
      Character = static_cast<char>(Character - 'A' + 'a');
  return HostName(std::move(Name));
}

} // namespace jaybridge
