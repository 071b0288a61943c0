#include <LibRegistry/EjectionSet.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <iterator>

namespace jaybridge {

EjectionDigest EjectionSet::digestOf(const std::vector<InstanceId> &Instances) {
  std::uint64_t Digest = 0;
  for (const InstanceId &Id : Instances)
    Digest ^= stableHash(Id.text());
  return EjectionDigest(Digest);
}

void EjectionSet::assign(std::vector<InstanceId> Sorted) {
  Instances_ = std::move(Sorted);
  Digest_ = digestOf(Instances_);
}

EjectionChange EjectionSet::changeFrom(const EjectionSet &Earlier) const {
  EjectionChange Change{Earlier.Digest_, Digest_, {}, {}};
  std::set_difference(Instances_.begin(), Instances_.end(),
                      Earlier.Instances_.begin(), Earlier.Instances_.end(),
                      std::back_inserter(Change.Added_));
  std::set_difference(Earlier.Instances_.begin(), Earlier.Instances_.end(),
                      Instances_.begin(), Instances_.end(),
                      std::back_inserter(Change.Removed_));
  return Change;
}

bool EjectionSet::apply(const EjectionChange &Change) {
  if (Change.Result_ == Digest_)
    return true;
  if (Change.Base_ == EjectionDigest())
    assign({});
  else if (Change.Base_ != Digest_)
    return false;
  std::vector<InstanceId> Sorted = std::move(Instances_);
  std::erase_if(Sorted, [&](const InstanceId &Id) {
    return std::find(Change.Removed_.begin(), Change.Removed_.end(), Id) !=
           Change.Removed_.end();
  });
  Sorted.insert(Sorted.end(), Change.Added_.begin(), Change.Added_.end());
  std::sort(Sorted.begin(), Sorted.end());
  assign(std::move(Sorted));
  if (Digest_ == Change.Result_)
    return true;
  assign({});
  return false;
}

} // namespace jaybridge
