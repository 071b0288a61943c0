#include <LibExchange/Credential.h>

namespace jaybridge {

bool Credential::isSameAs(const Credential &Other) const {
  if (Secret_.size() != Other.Secret_.size())
    return false;
  // Volatile keeps the compiler from ending the loop at the first difference.
  volatile unsigned char Difference = 0;
  for (std::size_t Index = 0; Index < Secret_.size(); ++Index)
    Difference = static_cast<unsigned char>(
        Difference | (Secret_[Index] ^ Other.Secret_[Index]));
  return Difference == 0;
}

} // namespace jaybridge
