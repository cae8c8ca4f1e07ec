#include "libraries/admission/digest.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/evp.h>

#include <boost/assert.hpp>
#include <boost/endian/conversion.hpp>
#include <memory>

namespace pomelospar::admission {
namespace {

using Context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

Context NewContext() {
  Context context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  const int started = EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  BOOST_VERIFY(started == 1);
  return context;
}

void Add(const Context& context, const void* data, std::size_t size) {
  const int added = EVP_DigestUpdate(context.get(), data, size);
  BOOST_VERIFY(added == 1);
}

Digest Final(const Context& context) {
  Digest digest{};
  const int finished = EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  BOOST_VERIFY(finished == 1);
  return digest;
}

}  // namespace

Digest Sha256(std::string_view text) {
  const auto context = NewContext();
  Add(context, text.data(), text.size());
  return Final(context);
}

Digest Sha256OfParts(std::initializer_list<std::string_view> parts) {
  const auto context = NewContext();
  for (const auto part : parts) {
    const std::uint64_t length = boost::endian::native_to_little<std::uint64_t>(part.size());
    Add(context, &length, sizeof(length));
    Add(context, part.data(), part.size());
  }
  return Final(context);
}

std::string ToHex(const Digest& digest) { return fmt::format("{:02x}", fmt::join(digest, "")); }

}  // namespace pomelospar::admission
