#include "sealedtext.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <memory>

namespace Utils {
namespace {

constexpr std::size_t keyBytes = 32;
constexpr std::size_t nonceBytes = 12;
constexpr std::size_t tagBytes = 16;

using CipherContext = std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;

auto makeContext() -> CipherContext
{
    return {EVP_CIPHER_CTX_new(), &EVP_CIPHER_CTX_free};
}

auto bytesOf(std::string &text) -> unsigned char *
{
    return reinterpret_cast<unsigned char *>(text.data());
}

auto bytesOf(std::string_view text) -> const unsigned char *
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

auto randomBytes(std::size_t size) -> Result<Bytes>
{
    Bytes bytes{std::string(size, '\0')};
    if (RAND_bytes(bytesOf(bytes.data), int(size)) != 1)
        return failure(ErrorType::Unavailable, "the system gives no random bytes");
    return bytes;
}

auto cannotSeal()
{
    return failure(ErrorType::Unavailable, "the text could not be encrypted");
}

auto isChanged()
{
    return failure(ErrorType::Corruption, "the sealed text was changed");
}

} // namespace

auto seal(std::string_view text) -> Result<SealedText>
{
    SealedText sealed;
    BOOST_OUTCOME_TRY(key, randomBytes(keyBytes));
    BOOST_OUTCOME_TRY(nonce, randomBytes(nonceBytes));
    sealed.key = std::move(key);
    sealed.nonce = std::move(nonce);
    auto &data = sealed.data.data;
    data.resize(text.size());
    std::string tag(tagBytes, '\0');
    const auto context = makeContext();
    auto written = 0;
    auto last = 0;
    const auto done =
        context != nullptr
        && EVP_EncryptInit_ex(context.get(),
                              EVP_aes_256_gcm(),
                              nullptr,
                              bytesOf(sealed.key.data),
                              bytesOf(sealed.nonce.data))
               == 1
        && EVP_EncryptUpdate(
               context.get(), bytesOf(data), &written, bytesOf(text), int(text.size()))
               == 1
        && EVP_EncryptFinal_ex(context.get(), bytesOf(data) + written, &last) == 1
        && EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_GET_TAG, int(tagBytes), tag.data()) == 1;
    if (!done)
        return cannotSeal();
    data += tag;
    return sealed;
}

auto open(const SealedText &sealed) -> Result<std::string>
{
    const auto &data = sealed.data.data;
    if (sealed.key.data.size() != keyBytes || sealed.nonce.data.size() != nonceBytes
        || data.size() < tagBytes)
        return isChanged();
    const auto encrypted = std::string_view(data).substr(0, data.size() - tagBytes);
    auto tag = data.substr(encrypted.size());
    std::string text(encrypted.size(), '\0');
    const auto context = makeContext();
    auto written = 0;
    auto last = 0;
    const auto done =
        context != nullptr
        && EVP_DecryptInit_ex(context.get(),
                              EVP_aes_256_gcm(),
                              nullptr,
                              bytesOf(std::string_view(sealed.key.data)),
                              bytesOf(std::string_view(sealed.nonce.data)))
               == 1
        && EVP_DecryptUpdate(
               context.get(), bytesOf(text), &written, bytesOf(encrypted), int(encrypted.size()))
               == 1
        && EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_SET_TAG, int(tagBytes), tag.data()) == 1
        && EVP_DecryptFinal_ex(context.get(), bytesOf(text) + written, &last) == 1;
    if (!done)
        return isChanged();
    return text;
}

} // namespace Utils
