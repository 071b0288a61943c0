#include <LibProfile/RoutingTable.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Retries of the whole fleet as a share of first attempts. Callers' platforms
/// commonly permit a fifth; the rest absorbs requests that move between
/// gateways.
constexpr Percentage RetryShare(14);
/// Share of serving instances that a gateway keeps in use whatever it is told:
/// the floor for healthy instances is kept where the evidence is pooled.
constexpr Percentage LeastInUse(30);
constexpr std::uint32_t GreatestRank = 100;

Error invalid(const std::string &Field, std::string Message) {
  return Error{ErrorCode::Invalid, std::move(Message), Field};
}

ProfileDraft profileDraftOf(const RouteDraft &Values) {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("route");
  Draft.Repeatability_ = Values.Repeatability_;
  Draft.Patience_ =
      std::clamp(Values.Patience_, Profile::MinPatience, Profile::MaxPatience);
  Draft.Floor_ = LeastInUse;
  Draft.RetryBudget_ = RetryShare;
  Draft.IsHedgingAllowed_ = Values.Repeatability_ == Repeatability::Repeatable;
  Draft.Weight_ = ClassWeight(GreatestRank + 1 -
                              std::min(GreatestRank, Values.Priority_.value()));
  return Draft;
}

} // namespace

Result<RoutingTable> RoutingTable::create(RoutingDraft Draft) {
  RoutingTable Created;
  Created.Version_ = Draft.Version_;
  for (ServiceDefinition &Rule : Draft.Services_) {
    if (Rule.Name_.isEmpty())
      return invalid("services", "a service has no name");
    ServiceName Name = Rule.Name_;
    Created.Services_.insert_or_assign(std::move(Name), std::move(Rule));
  }
  for (RouteDraft &Each : Draft.Routes_)
    JAYBRIDGE_TRY_STATUS(Created.add(std::move(Each)));
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
  SplitWeight Sum;
  for (const WeightedService &Part : Draft.WeightedServices_) {
    if (!Services_.contains(Part.Service_))
      return invalid(Name, "the service '" + Part.Service_.text() +
                               "' is not defined");
    Sum += Part.Weight_;
  }
  if (Sum == SplitWeight(0))
    return invalid(Name, "the weights of a route must not all be 0");
  JAYBRIDGE_TRY(Profile Rules, Profile::create(profileDraftOf(Draft)));
  std::vector<Route> &Routes = Hosts_[Draft.Host_];
  for (const Route &Known : Routes)
    if (Known.Values_.Prefix_ == Draft.Prefix_)
      return invalid(Name, "the route '" + Known.Values_.Name_.text() +
                               "' has the same host and prefix");
  Routes.push_back(Route{std::move(Draft), std::move(Rules)});
  ++RouteCount_;
  return success();
}

const Route *RoutingTable::find(const HostName &Host,
                                std::string_view Path) const {
  auto Found = Hosts_.find(Host);
  if (Found == Hosts_.end())
    return nullptr;
  for (const Route &Each : Found->second)
    if (Path.starts_with(Each.Values_.Prefix_))
      return &Each;
  return nullptr;
}

std::vector<ServicePolicy> RoutingTable::policies() const {
  std::vector<ServicePolicy> Policies;
  for (const auto &[Name, Rule] : Services_) {
    auto Rules = Profile::create(profileDraftOf(RouteDraft{}));
    JAYBRIDGE_VERIFY(Rules.hasValue());
    Policies.push_back(ServicePolicy{Name, Rules.takeValue(), Version_});
  }
  return Policies;
}

HostName hostNameOf(std::string_view Authority) {
  std::string Name(Authority.substr(0, Authority.find(':')));
  for (char &Each : Name)
    if (Each >= 'A' && Each <= 'Z')
      Each = static_cast<char>(Each - 'A' + 'a');
  return HostName(std::move(Name));
}

} // namespace jaybridge
