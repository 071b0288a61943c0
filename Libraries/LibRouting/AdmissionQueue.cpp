#include <LibRouting/AdmissionQueue.h>

#include <LibCore/Verify.h>

#include <tuple>

namespace jaybridge {

bool AdmissionQueue::Rank::operator<(const Rank &Other) const {
  return std::tie(Other.Weight_, Deadline_, Arrival_) <
         std::tie(Weight_, Other.Deadline_, Other.Arrival_);
}

std::optional<RequestId> AdmissionQueue::displaceBelow(ClassWeight Weight) {
  if (All_.empty() || All_.rbegin()->Weight_ >= Weight)
    return std::nullopt;
  RequestId Id = All_.rbegin()->Id_;
  remove(Id);
  return Id;
}

void AdmissionQueue::push(QueuedRequest Waiting) {
  JAYBRIDGE_VERIFY(!isFull());
  Arrivals_ += EventCount(1);
  Rank Place{Waiting.Weight_, Waiting.Deadline_, Arrivals_, Waiting.Id_};
  bool IsNew =
      Entries_.emplace(Waiting.Id_, Entry{Waiting.Service_, Place}).second;
  JAYBRIDGE_VERIFY(IsNew);
  ByService_[Waiting.Service_].insert(Place);
  All_.insert(std::move(Place));
}

std::optional<RequestId> AdmissionQueue::pop(const ServiceName &Service) {
  auto Found = ByService_.find(Service);
  if (Found == ByService_.end())
    return std::nullopt;
  RequestId Id = Found->second.begin()->Id_;
  remove(Id);
  return Id;
}

void AdmissionQueue::remove(const RequestId &Id) {
  auto Found = Entries_.find(Id);
  if (Found == Entries_.end())
    return;
  auto OfService = ByService_.find(Found->second.Service_);
  OfService->second.erase(Found->second.Rank_);
  if (OfService->second.empty())
    ByService_.erase(OfService);
  All_.erase(Found->second.Rank_);
  Entries_.erase(Found);
}

std::size_t AdmissionQueue::length(const ServiceName &Service) const {
  auto Found = ByService_.find(Service);
  return Found == ByService_.end() ? 0 : Found->second.size();
}

} // namespace jaybridge
