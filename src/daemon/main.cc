// heathercrossd: one entry instance.
int main() { return 0; }
