#include <LibProfile/RoutingTable.h>

#include <algorithm>

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
  for (RouteDraft &RouteValues : Draft.Routes_)
    JAYBRIDGE_TRY_STATUS(Created.add(std::move(RouteValues)));
  for (auto &[Host, Routes] : Created.Hosts_)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const Route &Left, const Route &Right) {
                       return Left.Values_.Prefix_.size() >
                              Right.Values_.Prefix_.size();
                     });
  return Created;
}

Status RoutingTable::add(RouteDraft Draft) {
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
  for (const WeightedService &Weighted : Draft.WeightedServices_) {
    if (!Services_.contains(Weighted.Service_))
      return invalid(Name, "the service '" + Weighted.Service_.text() +
                               "' is not defined");
    TotalWeight += Weighted.Weight_;
  }
  if (TotalWeight == SplitWeight(0))
    return invalid(Name, "the weights of a route must not all be 0");
  JAYBRIDGE_TRY(Profile RouteProfile, Profile::create(profileDraftOf(Draft)));
  std::vector<Route> &Routes = Hosts_[Draft.Host_];
  for (const Route &Existing : Routes)
    if (Existing.Values_.Prefix_ == Draft.Prefix_)
      return invalid(Name, "the route '" + Existing.Values_.Name_.text() +
                               "' has the same host and prefix");
  Routes.push_back(Route{std::move(Draft), std::move(RouteProfile)});
  ++RouteCount_;
  return success();
}

const Route *RoutingTable::find(const HostName &Host,
                                std::string_view Path) const {
  auto Found = Hosts_.find(Host);
  if (Found == Hosts_.end())
    return nullptr;
  for (const Route &Candidate : Found->second)
    if (Path.starts_with(Candidate.Values_.Prefix_))
      return &Candidate;
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
